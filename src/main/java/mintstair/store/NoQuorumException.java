package mintstair.store;

/**
 * Thrown if no majority of the members responded in time. A write that failed with this exception may still take effect
 * later.
 */
public final class NoQuorumException extends StoreException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with a message of one line and the exception that Ratis threw. */
    public NoQuorumException(String message, Throwable cause) {
        super(message, cause);
    }
}
