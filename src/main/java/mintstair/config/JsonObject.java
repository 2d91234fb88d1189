package mintstair.config;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A JSON object of a configuration, with typed look-ups of its values. Look-ups with a default value treat a value of
 * another type as missing. A key whose value is null counts as absent.
 *
 * @param values the object as {@link Json} reads it
 * @param path the keys that lead to the object, each followed by a dot; empty for the root
 */
record JsonObject(Map<?, ?> values, String path) {
    private static final double MICROS_PER_SECOND = 1e6;

    /** Wraps the root object of a configuration. */
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

    /** Returns the object under this key, or an empty object if there is none. */
    JsonObject object(String key) {
        return new JsonObject(get(key) instanceof Map<?, ?> map ? map : Map.of(), path + key + ".");
    }

    /** Returns the list under this key, or an empty list if there is none. */
    List<?> list(String key) {
        return get(key) instanceof List<?> list ? list : List.of();
    }

    String text(String key, String defaultValue) {
        return get(key) instanceof String text ? text : defaultValue;
    }

    /** Returns the string under this key; throws an error if the key is absent or its value is not a string. */
    String text(String key) {
        if (get(key) instanceof String text) {
            return text;
        }
        throw error(key, key + " is missing or not a string");
    }

    /** Returns the string under this key, or null if the key is absent; any other value is an error. */
    String textOrNull(String key) {
        return has(key) ? text(key) : null;
    }

    double number(String key, double defaultValue) {
        return get(key) instanceof Number number ? number.doubleValue() : defaultValue;
    }

    /** Returns the number of seconds under this key, converted to microseconds. */
    long micros(String key, double defaultSeconds) {
        return toMicros(number(key, defaultSeconds));
    }

    boolean flag(String key, boolean defaultValue) {
        return get(key) instanceof Boolean flag ? flag : defaultValue;
    }

    /** Throws an error for a key that is not among the known ones; {@code prefix} begins its message. */
    void requireKnownKeys(Set<String> known, String prefix) {
        for (Object key : values.keySet()) {
            if (!known.contains(key)) {
                throw error(String.valueOf(key), prefix + "unknown setting " + key);
            }
        }
    }

    /** Returns an error that points to the value under this key. */
    ConfigException error(String key, String message) {
        return ConfigException.at(path + key, message);
    }

    static long toMicros(double seconds) {
        return Math.round(seconds * MICROS_PER_SECOND);
    }
}
