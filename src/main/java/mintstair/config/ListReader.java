package mintstair.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import mintstair.request.EndpointList;

/** Discovery's form of the list of hosts, which configurations, the store and registries use as well, from JSON that was read. */
public final class ListReader {
    private static final int LAST_PORT = 65_535;

    private ListReader() {}

    /** The list; throws {@link IllegalArgumentException} where the value is none. */
    public static EndpointList read(Object json) {
        if (!(json instanceof Map<?, ?> map)
                || !(map.get("targets") instanceof List<?> targets)
                || !(map.get("rev") instanceof Number revision)) {
            throw new IllegalArgumentException("a list of hosts needs rev and targets");
        }
        List<EndpointList.Entry> entries = new ArrayList<>();
        for (Object each : targets) {
            if (!(each instanceof Map<?, ?> t)) {
                throw new IllegalArgumentException("a target must be an object");
            }
            entries.add(entry(t));
        }
        return new EndpointList(revision.longValue(), Boolean.TRUE.equals(map.get("all")), entries);
    }

    /** One host; throws {@link IllegalArgumentException} where the value is none. */
    public static EndpointList.Entry entry(Map<?, ?> t) {
        String endpoint = text(t, "endpoint");
        if (!endpoint.matches("[^:]+:\\d{1,5}")) {
            throw new IllegalArgumentException("no endpoint: " + endpoint);
        }
        EndpointList.State state;
        try {
            state = EndpointList.State.valueOf(text(t, "state"));
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException("unknown state of a host: " + t.get("state"));
        }
        if (Integer.parseInt(endpoint.substring(endpoint.indexOf(':') + 1)) > LAST_PORT) {
            // It can't be reached, while what the list tells of other hosts counts all the same.
            state = EndpointList.State.REMOVED;
        }
        return new EndpointList.Entry(
                text(t, "uid"),
                endpoint,
                text(t, "az"),
                (int) number(t, "pod_group", 0),
                state,
                "source".equals(t.get("rank")),
                number(t, "capacity_hint", 1),
                Math.round(number(t, "boot_ms", 0) * 1000));
    }

    private static String text(Map<?, ?> t, String key) {
        if (t.get(key) instanceof String s) {
            return s;
        }
        throw new IllegalArgumentException("a host needs its " + key);
    }

    private static double number(Map<?, ?> t, String key, double otherwise) {
        return t.get(key) instanceof Number n ? n.doubleValue() : otherwise;
    }
}
