package mintstair.registry.view;

import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * The layout of the registry's keys: {@code PREFIX FRONT/hosts/UID} for a host of a front, {@code PREFIX settings} for
 * settings. Keys hold their bytes as characters of ISO 8859-1, see {@link RegistryEntry}.
 */
public final class RegistryKeys {
    private static final String HOSTS = "/hosts/";
    private static final String SETTINGS = "settings";

    private final String prefix;
    private final List<String> fronts;

    /** The prefix comes before every key; it ends with a slash. */
    public RegistryKeys(String prefix, List<String> fronts) {
        this.prefix = prefix;
        this.fronts = List.copyOf(fronts);
    }

    /** The prefix of all keys. */
    public String prefix() {
        return prefix;
    }

    /** The fronts whose hosts are in the registry. */
    public List<String> fronts() {
        return fronts;
    }

    /** The key of a host of this front. */
    public String hostKey(String front, String uid) {
        return hostsPrefix(front) + bytesAsCharacters(uid);
    }

    /** The key of the settings. */
    public String settingsKey() {
        return prefix + SETTINGS;
    }

    boolean isSettingsKey(String key) {
        return key.equals(settingsKey());
    }

    /** The front that the key is a host of, or null for another key. */
    String frontOf(String key) {
        for (String front : fronts) {
            if (key.startsWith(hostsPrefix(front))) {
                return front;
            }
        }
        return null;
    }

    /** The uid in the key of a host of this front. */
    String uidOf(String key, String front) {
        return charactersOf(key.substring(hostsPrefix(front).length()));
    }

    private String hostsPrefix(String front) {
        return prefix + front + HOSTS;
    }

    /** The text that a key, or a part of one, is the bytes of. */
    static String charactersOf(String key) {
        return new String(key.getBytes(StandardCharsets.ISO_8859_1), StandardCharsets.UTF_8);
    }

    private static String bytesAsCharacters(String text) {
        return new String(text.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
    }
}
