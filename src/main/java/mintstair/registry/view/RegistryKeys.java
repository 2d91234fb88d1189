package mintstair.registry.view;

import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * The layout of the registry's keys: the prefix followed by {@code FRONT/hosts/UID} for a host of a front, and by
 * {@code settings} for the settings. A key has each byte as one character of ISO 8859-1, see {@link RegistryEntry}.
 * Immutable.
 */
public final class RegistryKeys {
    private static final String HOSTS_SEGMENT = "/hosts/";
    private static final String SETTINGS_NAME = "settings";

    private final String prefix;
    private final List<String> fronts;

    /**
     * Creates the layout.
     *
     * @param prefix the prefix of all keys, which ends with a slash
     * @param fronts the names of the fronts whose hosts are in the registry
     */
    public RegistryKeys(String prefix, List<String> fronts) {
        this.prefix = prefix;
        this.fronts = List.copyOf(fronts);
    }

    /** Returns the prefix of all keys. */
    public String prefix() {
        return prefix;
    }

    /** Returns the names of the fronts whose hosts are in the registry. */
    public List<String> fronts() {
        return fronts;
    }

    /** Returns the key of a host of this front. */
    public String hostKey(String front, String uid) {
        return hostsPrefix(front) + encode(uid);
    }

    /** Returns the key of the settings. */
    public String settingsKey() {
        return prefix + SETTINGS_NAME;
    }

    boolean isSettingsKey(String key) {
        return key.equals(settingsKey());
    }

    /** Returns the front of the host with this key, or null if it is not the key of a host. */
    String frontOf(String key) {
        for (String front : fronts) {
            if (key.startsWith(hostsPrefix(front))) {
                return front;
            }
        }
        return null;
    }

    /** Returns the uid in the key of a host of this front. */
    String uidOf(String key, String front) {
        return decode(key.substring(hostsPrefix(front).length()));
    }

    private String hostsPrefix(String front) {
        return prefix + front + HOSTS_SEGMENT;
    }

    /** Decodes a key, or a part of one, as UTF-8. */
    static String decode(String key) {
        return new String(key.getBytes(StandardCharsets.ISO_8859_1), StandardCharsets.UTF_8);
    }

    private static String encode(String text) {
        return new String(text.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
    }
}
