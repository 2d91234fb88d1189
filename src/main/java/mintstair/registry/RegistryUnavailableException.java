package mintstair.registry;

/** None of the registry's servers responded; nothing was changed. */
public final class RegistryUnavailableException extends RegistryException {
    private static final long serialVersionUID = 1L;

    /** The reason is that of the last server; the cause may be null. */
    public RegistryUnavailableException(String reason, Throwable cause) {
        super("no endpoint answers: " + reason, cause);
    }
}
