package mintstair.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import mintstair.request.EndpointList;

/**
 * Reads endpoint lists from JSON in the form of the platform's discovery, which configurations, the store and
 * registries use as well. Safe for use by several threads.
 */
public final class EndpointListReader {
    private static final Pattern ENDPOINT = Pattern.compile("[^:]+:\\d{1,5}");
    private static final int MAX_PORT = 65_535;
    /** The word for a primary under the key {@code rank}. */
    private static final String PRIMARY = "source";

    private static final int MICROS_PER_MILLI = 1_000;

    private EndpointListReader() {}

    /**
     * The list.
     *
     * @throws EndpointListException where the value is none
     */
    public static EndpointList read(Object json) {
        if (!(json instanceof Map<?, ?> list)
                || !(list.get("targets") instanceof List<?> targets)
                || !(list.get("rev") instanceof Number revision)) {
            throw new EndpointListException("a list of hosts needs rev and targets");
        }
        List<EndpointList.Entry> entries = new ArrayList<>();
        for (Object target : targets) {
            if (!(target instanceof Map<?, ?> entry)) {
                throw new EndpointListException("a target must be an object");
            }
            entries.add(readEntry(entry));
        }
        return new EndpointList(revision.longValue(), Boolean.TRUE.equals(list.get("all")), entries);
    }

    /**
     * One entry of a list.
     *
     * @throws EndpointListException where the value is none
     */
    public static EndpointList.Entry readEntry(Map<?, ?> json) {
        String endpoint = text(json, "endpoint");
        if (!ENDPOINT.matcher(endpoint).matches()) {
            throw new EndpointListException("no endpoint: " + endpoint);
        }
        EndpointList.State state = state(json);
        if (!hasReachablePort(endpoint)) {
            // The host cannot be reached, while the other entries of the list count all the same.
            state = EndpointList.State.REMOVED;
        }
        return new EndpointList.Entry(
                text(json, "uid"),
                endpoint,
                text(json, "az"),
                (int) number(json, "pod_group", 0),
                state,
                PRIMARY.equals(json.get("rank")),
                number(json, "capacity_hint", 1),
                Math.round(number(json, "boot_ms", 0) * MICROS_PER_MILLI));
    }

    /** The platform's words for the state of a host; {@code DELETED} is met here alone. */
    private static EndpointList.State state(Map<?, ?> json) {
        String word = json.get("state") instanceof String text ? text : "";
        return switch (word) {
            case "SERVING" -> EndpointList.State.SERVING;
            case "DRAINING" -> EndpointList.State.DRAINING;
            case "DELETED" -> EndpointList.State.REMOVED;
            default -> throw new EndpointListException("unknown state of a host: " + json.get("state"));
        };
    }

    private static boolean hasReachablePort(String endpoint) {
        return Integer.parseInt(endpoint.substring(endpoint.indexOf(':') + 1)) <= MAX_PORT;
    }

    private static String text(Map<?, ?> json, String key) {
        if (json.get(key) instanceof String text) {
            return text;
        }
        throw new EndpointListException("a host needs its " + key);
    }

    private static double number(Map<?, ?> json, String key, double defaultValue) {
        return json.get(key) instanceof Number number ? number.doubleValue() : defaultValue;
    }
}
