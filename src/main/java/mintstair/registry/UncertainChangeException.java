package mintstair.registry;

/** The connection failed after a change was sent: it may have been made or not. */
public final class UncertainChangeException extends RegistryException {
    private static final long serialVersionUID = 1L;

    /** The reason is one line. */
    public UncertainChangeException(String reason, Throwable cause) {
        super("the change may have been made, look before it is tried again: " + reason, cause);
    }
}
