package mintstair.config;

import java.util.List;
import java.util.Map;

/** Checks the platform's object {@code settings} before it is used. */
final class SettingsValidator {
    private SettingsValidator() {}

    /** Fails on settings by which no request could be served. */
    static void requireUsable(JsonObject settings) {
        List<?> classes = classes(settings);
        for (Object element : classes) {
            if (!(element instanceof Map<?, ?> requestClass)) {
                throw settings.error("classes", "a class must be an object");
            }
            requireRequestClass(new JsonObject(requestClass, settings.path() + "classes."));
        }
        requirePositive(settings.object("limits"), "maxAttempts");
        Object consistency = settings.object("familyInfo").get("consistency");
        if (!(consistency instanceof List<?> words) || words.size() != classes.size()) {
            throw settings.error("familyInfo.consistency", "familyInfo.consistency must say what each class needs");
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
     * Fails where a configuration that was read anew lacks what the one before had: a file that is being written may
     * be valid JSON already. Only the list of known hosts may be missing.
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
            if (key.equals(NodeConfig.INITIAL_ENDPOINTS)) {
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

    /** A class needs each key that all classes had. */
    private static void requireKeysOfAll(List<?> classesBefore, Map<?, ?> requestClass) {
        for (Object key : ((Map<?, ?>) classesBefore.get(0)).keySet()) {
            boolean needed = classesBefore.stream().allMatch(before -> ((Map<?, ?>) before).containsKey(key));
            if (needed && !requestClass.containsKey(key)) {
                throw ConfigException.at("settings.classes." + key, "a class without " + key);
            }
        }
    }

    private static List<?> classes(JsonObject settings) {
        List<?> classes = settings.list("classes");
        if (classes.isEmpty()) {
            throw settings.error("classes", "classes are missing");
        }
        return classes;
    }
}
