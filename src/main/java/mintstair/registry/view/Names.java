package mintstair.registry.view;

import java.nio.charset.StandardCharsets;
import java.util.List;

/** Where in the registry things are: {@code PREFIX FRONT/hosts/UID} for a host of a front, {@code PREFIX settings} for settings. */
public final class Names {
    private static final String HOSTS = "/hosts/";
    private static final String SETTINGS = "settings";
    private final String prefix;
    private final List<String> fronts;

    /** For entries under {@code prefix}, of these fronts. */
    public Names(String prefix, List<String> fronts) {
        this.prefix = prefix;
        this.fronts = List.copyOf(fronts);
    }

    public String prefix() {
        return prefix;
    }

    public List<String> fronts() {
        return fronts;
    }

    /** The key of a host, its bytes as characters. */
    public String host(String front, String uid) {
        return prefix + front + HOSTS + bytes(uid);
    }

    public String settings() {
        return prefix + SETTINGS;
    }

    boolean isSettings(String key) {
        return key.equals(settings());
    }

    /** The front that the key names a host of, or null. */
    String front(String key) {
        for (String front : fronts) {
            if (key.startsWith(prefix + front + HOSTS)) {
                return front;
            }
        }
        return null;
    }

    /** The host that the key names, for a key of this front. */
    String uid(String key, String front) {
        String bytes = key.substring(prefix.length() + front.length() + HOSTS.length());
        return new String(bytes.getBytes(StandardCharsets.ISO_8859_1), StandardCharsets.UTF_8);
    }

    private static String bytes(String text) {
        return new String(text.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
    }
}
