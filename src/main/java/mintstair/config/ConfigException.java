package mintstair.config;

import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.Optional;

/** Thrown if a configuration is not usable. The message is one line that names the faulty place. */
public final class ConfigException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final transient Path file;
    private final String jsonPath;

    /** Creates an exception for a fault that is not in a file. */
    public ConfigException(String message) {
        this(message, null, null, null);
    }

    /** Creates an exception for a fault that is not in a file, with its cause. */
    public ConfigException(String message, Throwable cause) {
        this(message, cause, null, null);
    }

    private ConfigException(String message, Throwable cause, Path file, String jsonPath) {
        super(message, cause);
        this.file = file;
        this.jsonPath = jsonPath;
    }

    /** Returns an exception for the value at this path, for example {@code settings.limits.maxAttempts}. */
    static ConfigException at(String jsonPath, String message) {
        return new ConfigException(message, null, null, jsonPath);
    }

    /** Returns an exception for this file; the first line of the cause's message is the reason. */
    static ConfigException inFile(Path file, Exception cause) {
        String reason = cause instanceof NoSuchFileException ? "no such file" : FirstLine.of(cause);
        return new ConfigException(file + ": " + reason, cause, file, jsonPathOf(cause));
    }

    /** Returns an exception for a source that is not a file; the first line of the cause's message is the reason. */
    static ConfigException inSource(String source, Exception cause) {
        return new ConfigException(source + ": " + FirstLine.of(cause), cause, null, jsonPathOf(cause));
    }

    private static String jsonPathOf(Exception cause) {
        return cause instanceof ConfigException config ? config.jsonPath : null;
    }

    /** Returns the faulty file, or empty if the configuration is not from a file. */
    public Optional<Path> file() {
        return Optional.ofNullable(file);
    }

    /** Returns the path of the missing or invalid value, its keys separated by dots, if one is known. */
    public Optional<String> jsonPath() {
        return Optional.ofNullable(jsonPath);
    }
}
