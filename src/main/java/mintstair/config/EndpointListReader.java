package mintstair.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import mintstair.request.EndpointList;

/**
 * Reads endpoint lists from JSON in the format of the platform's discovery service, which configurations, the store
 * and registries use as well. Thread-safe.
 */
public final class EndpointListReader {
    private static final Pattern ENDPOINT = Pattern.compile("[^:]+:\\d{1,5}");
    private static final int MAX_PORT = 65_535;
    /** The value of the key {@code rank} that marks a primary. */
    private static final String PRIMARY = "source";

    private static final int MICROS_PER_MILLI = 1_000;

    private EndpointListReader() {}

    /**
     * Reads a list.
     *
     * @throws EndpointListException if the value is not an endpoint list
     */
    public static EndpointList read(Object json) {
        if (!(json instanceof Map<?, ?> list)
                || !(list.get("targets") instanceof List<?> targets)
                || !(list.get("rev") instanceof Number revision)) {
            throw new EndpointListException("endpoint list must have rev (a number) and targets (a list)");
        }
        List<EndpointList.Entry> entries = new ArrayList<>();
        for (Object target : targets) {
            if (!(target instanceof Map<?, ?> entry)) {
                throw new EndpointListException("each element of targets must be an object");
            }
            entries.add(readEntry(entry));
        }
        return new EndpointList(revision.longValue(), Boolean.TRUE.equals(list.get("all")), entries);
    }

    /**
     * Reads one entry of a list.
     *
     * @throws EndpointListException if the value is not a valid entry
     */
    public static EndpointList.Entry readEntry(Map<?, ?> json) {
        String endpoint = text(json, "endpoint");
        if (!ENDPOINT.matcher(endpoint).matches()) {
            throw new EndpointListException("endpoint must be HOST:PORT, found " + endpoint);
        }
        EndpointList.State state = state(json);
        if (!hasValidPort(endpoint)) {
            // Treated as removed rather than as an error, so that the other entries of the list still apply.
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

    /** Translates the platform's name of a host state; the code calls {@code DELETED} removed. */
    private static EndpointList.State state(Map<?, ?> json) {
        String name = json.get("state") instanceof String text ? text : "";
        return switch (name) {
            case "SERVING" -> EndpointList.State.SERVING;
            case "DRAINING" -> EndpointList.State.DRAINING;
            case "DELETED" -> EndpointList.State.REMOVED;
            default -> throw new EndpointListException("unknown host state: " + json.get("state"));
        };
    }

    private static boolean hasValidPort(String endpoint) {
        return Integer.parseInt(endpoint.substring(endpoint.indexOf(':') + 1)) <= MAX_PORT;
    }

    private static String text(Map<?, ?> json, String key) {
        if (json.get(key) instanceof String text) {
            return text;
        }
        throw new EndpointListException("host entry has no " + key);
    }

    private static double number(Map<?, ?> json, String key, double defaultValue) {
        return json.get(key) instanceof Number number ? number.doubleValue() : defaultValue;
    }
}
