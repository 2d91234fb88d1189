package mintstair.registry;

/** Signals that none of the registry's servers carried out the call; nothing was changed. */
public final class RegistryUnavailableException extends RegistryException {
    private static final long serialVersionUID = 1L;

    /** Creates the exception with the failure of the last server; the cause may be null. */
    public RegistryUnavailableException(String reason, Throwable cause) {
        super("no endpoint answers: " + reason, cause);
    }
}
