package mintstair.registry;

import java.nio.charset.StandardCharsets;
import java.util.List;
import mintstair.registry.view.RegistryEntry;
import mintstair.registry.view.RegistryKeys;

/** Keys and values for tests of the registry client. */
final class RegistryFixtures {
    static final String PREFIX = "reg/";
    static final String FRONT = "postgresql";
    static final RegistryKeys KEYS = new RegistryKeys(PREFIX, List.of(FRONT));

    private RegistryFixtures() {}

    static String hostKey(String uid) {
        return PREFIX + FRONT + "/hosts/" + uid;
    }

    /** Returns the JSON of a valid host whose boot time in milliseconds is the version. */
    static String hostJson(String uid, int version) {
        return "{\"uid\":\"" + uid + "\",\"endpoint\":\"127.0.0.1:5432\",\"az\":\"a\",\"pod_group\":1,"
                + "\"state\":\"SERVING\",\"boot_ms\":" + version + "}";
    }

    static RegistryEntry host(String uid, int version, long createRevision, long modRevision) {
        return entry(hostKey(uid), hostJson(uid, version), createRevision, modRevision);
    }

    static RegistryEntry entry(String key, String value, long createRevision, long modRevision) {
        return new RegistryEntry(key, value.getBytes(StandardCharsets.UTF_8), createRevision, modRevision);
    }
}
