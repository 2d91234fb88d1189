package mintstair.registry;

/** None of the registry's servers responded; nothing was changed. */
public final class RegistryUnavailableException extends RegistryException {
    private static final long serialVersionUID = 1L;

    public RegistryUnavailableException(String reason, Throwable cause) {
        super("no endpoint answers: " + reason, cause);
    }
}
