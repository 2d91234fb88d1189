package mintstair.config;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * An object of a configuration, with typed look-ups of its values. Look-ups with a default value are lenient: a value
 * of another type counts as missing. Keys that are absent and those that are null are the same.
 *
 * @param values the object as {@link Json} reads it
 * @param path the keys that lead to it, each followed by a dot; empty for the whole configuration
 */
record JsonObject(Map<?, ?> values, String path) {
    private static final double MICROS_PER_SECOND = 1e6;

    /** The whole configuration. */
    static JsonObject root(Map<?, ?> values) {
        return new JsonObject(values, "");
    }

    Object get(String key) {
        return values.get(key);
    }

    boolean has(String key) {
        return values.get(key) != null;
    }

    boolean hasObject(String key) {
        return get(key) instanceof Map<?, ?>;
    }

    /** The object under this key; an empty one where there is none. */
    JsonObject object(String key) {
        return new JsonObject(get(key) instanceof Map<?, ?> map ? map : Map.of(), path + key + ".");
    }

    /** The list under this key; an empty one where there is none. */
    List<?> list(String key) {
        return get(key) instanceof List<?> list ? list : List.of();
    }

    String text(String key, String defaultValue) {
        return get(key) instanceof String text ? text : defaultValue;
    }

    /** The text under this key, which must be there. */
    String text(String key) {
        if (get(key) instanceof String text) {
            return text;
        }
        throw error(key, key + " is missing");
    }

    /** The text under this key; null where the key is missing, while any other value is an error. */
    String textOrNull(String key) {
        return has(key) ? text(key) : null;
    }

    double number(String key, double defaultValue) {
        return get(key) instanceof Number number ? number.doubleValue() : defaultValue;
    }

    /** The number of seconds under this key, in microseconds. */
    long micros(String key, double defaultSeconds) {
        return toMicros(number(key, defaultSeconds));
    }

    boolean flag(String key, boolean defaultValue) {
        return get(key) instanceof Boolean flag ? flag : defaultValue;
    }

    /** Fails on a key that is none of these; its message begins with {@code prefix}. */
    void requireKnownKeys(Set<String> known, String prefix) {
        for (Object key : values.keySet()) {
            if (!known.contains(key)) {
                throw error(String.valueOf(key), prefix + "unknown setting " + key);
            }
        }
    }

    /** An error of the value under this key. */
    ConfigException error(String key, String message) {
        return ConfigException.at(path + key, message);
    }

    static long toMicros(double seconds) {
        return Math.round(seconds * MICROS_PER_SECOND);
    }
}
