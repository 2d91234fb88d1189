package mintstair.config;

/** A configuration that cannot be used; its message is one plain line. */
public final class ConfigException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public ConfigException(String message) {
        super(message);
    }
}
