package mintstair.config;

import java.util.List;
import java.util.Map;

/** Validates the platform's object {@code settings} before it is used. */
final class SettingsValidator {
    private SettingsValidator() {}

    /** Throws an error for settings with which no request could be served. */
    static void requireUsable(JsonObject settings) {
        List<?> classes = classes(settings);
        for (Object element : classes) {
            if (!(element instanceof Map<?, ?> requestClass)) {
                throw settings.error("classes", "each element of classes must be an object");
            }
            requireRequestClass(new JsonObject(requestClass, settings.path() + "classes."));
        }
        requirePositive(settings.object("limits"), "maxAttempts");
        Object consistency = settings.object("familyInfo").get("consistency");
        if (!(consistency instanceof List<?> names) || names.size() != classes.size()) {
            throw settings.error(
                    "familyInfo.consistency", "familyInfo.consistency must have one element for each class");
        }
    }

    private static void requireRequestClass(JsonObject requestClass) {
        requestClass.text("name");
        requirePositive(requestClass, "deadlineS");
    }

    private static void requirePositive(JsonObject json, String key) {
        double number = json.number(key, Double.NaN);
        if (!(number > 0) || Double.isInfinite(number)) {
            throw json.error(key, key + " must be a number above 0");
        }
    }

    /**
     * Throws an error if a reloaded configuration lacks a key that the previous one had: a file that is still being
     * written may already be valid JSON. Only the list of initial endpoints may be missing.
     */
    static void requireComplete(Map<?, ?> before, Map<?, ?> after) {
        requireKeys(before, JsonObject.root(after));
        List<?> classesBefore = classes(JsonObject.root(before).object("settings"));
        for (Object requestClass : classes(JsonObject.root(after).object("settings"))) {
            requireKeysOfAll(classesBefore, (Map<?, ?>) requestClass);
        }
    }

    private static void requireKeys(Map<?, ?> before, JsonObject after) {
        before.forEach((name, value) -> {
            String key = name.toString();
            if (key.equals(NodeConfig.INITIAL_ENDPOINTS_KEY)) {
                return;
            }
            if (!after.values().containsKey(key)) {
                throw after.error(key, after.path() + key + " is missing");
            }
            if (value instanceof Map<?, ?> inner) {
                if (!(after.get(key) instanceof Map<?, ?>)) {
                    throw after.error(key, after.path() + key + " is not an object");
                }
                requireKeys(inner, after.object(key));
            }
        });
    }

    /** Requires a class to have each key that all classes of the previous configuration had. */
    private static void requireKeysOfAll(List<?> classesBefore, Map<?, ?> requestClass) {
        for (Object key : ((Map<?, ?>) classesBefore.get(0)).keySet()) {
            boolean required = classesBefore.stream().allMatch(before -> ((Map<?, ?>) before).containsKey(key));
            if (required && !requestClass.containsKey(key)) {
                throw ConfigException.at(
                        "settings.classes." + key, "a class lacks " + key + ", which all classes had before");
            }
        }
    }

    private static List<?> classes(JsonObject settings) {
        List<?> classes = settings.list("classes");
        if (classes.isEmpty()) {
            throw settings.error("classes", "classes is missing or empty");
        }
        return classes;
    }
}
