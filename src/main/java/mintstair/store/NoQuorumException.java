package mintstair.store;

/**
 * No majority of the members answered in time: no quorum. A write that failed with this exception may still take effect
 * later.
 */
public final class NoQuorumException extends StoreException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with a message of one line and the cause, which Ratis reported. */
    public NoQuorumException(String message, Throwable cause) {
        super(message, cause);
    }
}
