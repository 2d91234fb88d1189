package mintstair.registry;

/** Signals that the connection failed after a change was sent, so that the change may or may not have been made. */
public final class UncertainChangeException extends RegistryException {
    private static final long serialVersionUID = 1L;

    /** Creates the exception with a reason of one line. */
    public UncertainChangeException(String reason, Throwable cause) {
        super("the change may have been made, look before it is tried again: " + reason, cause);
    }
}
