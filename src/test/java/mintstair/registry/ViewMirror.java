package mintstair.registry;

import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import mintstair.registry.view.RegistryEntry;
import mintstair.registry.view.ViewUpdate;
import mintstair.request.EndpointList;

/** The hosts by a view's updates, as a receiver of them has them. */
final class ViewMirror {
    private final int seed;
    private final Map<String, EndpointList.Entry> hosts = new HashMap<>();
    private boolean complete;

    ViewMirror(int seed) {
        this.seed = seed;
    }

    /** Whether there has been a whole list. */
    boolean isComplete() {
        return complete;
    }

    /** Applies an update, which must change something. */
    void apply(ViewUpdate update) {
        if (!(update instanceof ViewUpdate.Endpoints endpoints)) {
            return;
        }
        if (endpoints.list().isSnapshot()) {
            hosts.clear();
            complete = true;
        }
        for (EndpointList.Entry entry : endpoints.list().entries()) {
            if (entry.state() == EndpointList.State.REMOVED) {
                assertNotNull(
                        hosts.remove(entry.host()), "removed twice or never there: " + entry.host() + ", seed " + seed);
            } else {
                assertNotEquals(entry, hosts.put(entry.host(), entry), "reported twice: " + entry + ", seed " + seed);
            }
        }
    }

    /**
     * Whether the hosts are those of these entries. An entry that is not valid may be missing or have its last valid
     * value.
     */
    boolean matches(Map<String, RegistryEntry> entries) {
        Map<String, RegistryEntry> entriesByUid = new HashMap<>();
        entries.forEach((key, entry) -> entriesByUid.put(uidOf(key), entry));
        return entriesByUid.keySet().containsAll(hosts.keySet())
                && entriesByUid.entrySet().stream().allMatch(each -> matches(each.getKey(), each.getValue()));
    }

    private boolean matches(String uid, RegistryEntry entry) {
        String value = new String(entry.value(), StandardCharsets.UTF_8);
        if (!value.startsWith("{")) {
            return true;
        }
        EndpointList.Entry host = hosts.get(uid);
        return host != null && value.contains(":" + Math.round(host.startedAtMicros() / 1000.0) + "}");
    }

    /** How many of the entries have no host here, as their value has not been valid. */
    long countMissing(Map<String, RegistryEntry> entries) {
        return entries.keySet().stream()
                .filter(key -> !hosts.containsKey(uidOf(key)))
                .count();
    }

    private static String uidOf(String key) {
        return key.substring(key.lastIndexOf('/') + 1);
    }

    /** The versions by host. */
    @Override
    public String toString() {
        Map<String, Long> versions = new TreeMap<>();
        hosts.forEach((uid, host) -> versions.put(uid, host.startedAtMicros() / 1000));
        return versions.toString();
    }

    static String describe(Map<String, RegistryEntry> entries) {
        Map<String, String> versions = new TreeMap<>();
        entries.forEach((key, entry) -> versions.put(
                uidOf(key), new String(entry.value(), StandardCharsets.UTF_8).replaceAll(".*boot_ms", "")));
        return versions.toString();
    }
}
