package mintstair.config;

import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.Optional;

/** A configuration that cannot be used. The message is one line, which names the place. */
public final class ConfigException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final transient Path file;
    private final String jsonPath;

    /** A fault that belongs to no file. */
    public ConfigException(String message) {
        this(message, null, null, null);
    }

    /** A fault that belongs to no file, with what it was found by. */
    public ConfigException(String message, Throwable cause) {
        this(message, cause, null, null);
    }

    private ConfigException(String message, Throwable cause, Path file, String jsonPath) {
        super(message, cause);
        this.file = file;
        this.jsonPath = jsonPath;
    }

    /** Something is wrong with the value at this path, as in {@code settings.limits.maxAttempts}. */
    static ConfigException at(String jsonPath, String message) {
        return new ConfigException(message, null, null, jsonPath);
    }

    /** This file cannot be used, for the first line of the cause's message. */
    static ConfigException inFile(Path file, Exception cause) {
        String reason = cause instanceof NoSuchFileException ? "no such file" : FirstLine.of(cause);
        return new ConfigException(file + ": " + reason, cause, file, jsonPathOf(cause));
    }

    /** What this place holds, which is no file, cannot be used, for the first line of the cause's message. */
    static ConfigException inPlace(String place, Exception cause) {
        return new ConfigException(place + ": " + FirstLine.of(cause), cause, null, jsonPathOf(cause));
    }

    private static String jsonPathOf(Exception cause) {
        return cause instanceof ConfigException config ? config.jsonPath : null;
    }

    /** The file that cannot be used, where the configuration is one. */
    public Optional<Path> file() {
        return Optional.ofNullable(file);
    }

    /** The path of the value that is missing or wrong, its keys separated by dots, where there is one. */
    public Optional<String> jsonPath() {
        return Optional.ofNullable(jsonPath);
    }
}
