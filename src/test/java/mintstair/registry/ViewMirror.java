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

/** A receiver of a view's updates, which keeps the hosts that these updates result in. */
final class ViewMirror {
    private final int seed;
    private final Map<String, EndpointList.Entry> hosts = new HashMap<>();
    private boolean complete;

    ViewMirror(int seed) {
        this.seed = seed;
    }

    /** Returns whether a complete list has been received. */
    boolean isComplete() {
        return complete;
    }

    /** Applies an update; fails if an entry of it has no effect. */
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
                        hosts.remove(entry.host()),
                        "removed a host that is not listed: " + entry.host() + ", seed " + seed);
            } else {
                assertNotEquals(
                        entry,
                        hosts.put(entry.host(), entry),
                        "reported without a change: " + entry + ", seed " + seed);
            }
        }
    }

    /**
     * Returns whether the hosts are those of these entries. The host of an invalid entry may be missing or have its
     * last valid value.
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

    /** Returns how many of the entries have no host here, because none of their values has been valid. */
    long countMissing(Map<String, RegistryEntry> entries) {
        return entries.keySet().stream()
                .filter(key -> !hosts.containsKey(uidOf(key)))
                .count();
    }

    private static String uidOf(String key) {
        return key.substring(key.lastIndexOf('/') + 1);
    }

    /** Returns the versions by host. */
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
