package mintstair.config;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * The configuration of the registry that provides the endpoint lists instead of the discovery service.
 *
 * @param kind the protocol of the registry
 * @param endpoints the addresses of its members, one of which is used at a time
 * @param prefix the prefix of the keys of its entries
 * @param fronts the names of the fronts whose hosts it lists
 * @param user the user name; null for none
 * @param secret the user's password (etcd) or the token (Consul); null for none
 * @param tls the files for TLS connections; null for unencrypted connections
 * @param snapshot the file to which the latest view is written; null for none
 * @param snapshotEveryMicros the interval at which a changed view is written, in microseconds
 */
public record RegistryConfig(
        Kind kind,
        List<InetSocketAddress> endpoints,
        String prefix,
        List<String> fronts,
        String user,
        String secret,
        Tls tls,
        Path snapshot,
        long snapshotEveryMicros) {
    /** The name of the PostgreSQL front in the registry. */
    public static final String POSTGRESQL = "postgresql";
    /** The name of the MongoDB front in the registry. */
    public static final String MONGODB = "mongodb";

    private static final Set<String> KEYS = Set.of(
            "kind",
            "endpoints",
            "prefix",
            "fronts",
            "user",
            "password_file",
            "token_file",
            "tls",
            "snapshot",
            "snapshot_every_s");
    private static final Pattern PREFIX = Pattern.compile("[!-~]*/");
    private static final int MAX_PREFIX_CHARACTERS = 200;
    private static final double DEFAULT_SNAPSHOT_SECONDS = 5;
    private static final double MIN_SNAPSHOT_SECONDS = 0.1;
    private static final double MAX_SNAPSHOT_SECONDS = 3600;
    private static final double MICROS_PER_SECOND = 1e6;

    /** The protocols of registries. */
    public enum Kind {
        ETCD,
        CONSUL
    }

    /**
     * The PEM files for TLS connections.
     *
     * @param ca the certificates of the trusted authorities
     * @param certificate the certificate of this client; null for none
     * @param key the private key of this client; null if it has no certificate
     */
    public record Tls(Path ca, Path certificate, Path key) {}

    static RegistryConfig read(JsonObject json) {
        json.requireKnownKeys(KEYS, "registry: ");
        Kind kind = kind(json);
        List<InetSocketAddress> endpoints = strings(json, "endpoints", List.of()).stream()
                .map(NodeConfig::parseAddress)
                .toList();
        String prefix = prefix(json);
        List<String> fronts = strings(json, "fronts", List.of(POSTGRESQL));
        if (endpoints.isEmpty()
                || fronts.isEmpty()
                || !Set.of(POSTGRESQL, MONGODB).containsAll(fronts)) {
            throw json.error(
                    "endpoints",
                    "registry: endpoints and fronts must not be empty, and fronts may contain only " + POSTGRESQL
                            + " and " + MONGODB);
        }
        String secretKey = kind == Kind.ETCD ? "password_file" : "token_file";
        String user = json.textOrNull("user");
        if (user != null && !json.has(secretKey)) {
            throw json.error("user", "registry: user requires password_file");
        }
        long snapshotEveryMicros = snapshotEveryMicros(json);
        return new RegistryConfig(
                kind,
                endpoints,
                prefix,
                fronts,
                user,
                secret(json, secretKey),
                tls(json),
                pathOrNull(json, "snapshot"),
                snapshotEveryMicros);
    }

    private static Kind kind(JsonObject json) {
        return switch (json.text("kind")) {
            case "etcd" -> Kind.ETCD;
            case "consul" -> Kind.CONSUL;
            default -> throw json.error("kind", "registry: kind must be etcd or consul");
        };
    }

    private static String prefix(JsonObject json) {
        String prefix = json.text("prefix");
        if (!PREFIX.matcher(prefix).matches() || prefix.length() > MAX_PREFIX_CHARACTERS) {
            throw json.error(
                    "prefix",
                    "registry: prefix must be printable ASCII, end with / and have at most " + MAX_PREFIX_CHARACTERS
                            + " characters");
        }
        return prefix;
    }

    private static long snapshotEveryMicros(JsonObject json) {
        double seconds = json.number("snapshot_every_s", DEFAULT_SNAPSHOT_SECONDS);
        if (!(seconds >= MIN_SNAPSHOT_SECONDS && seconds <= MAX_SNAPSHOT_SECONDS)) {
            throw json.error("snapshot_every_s", "registry: snapshot_every_s must be from 0.1 to 3600");
        }
        return (long) (seconds * MICROS_PER_SECOND);
    }

    private static Tls tls(JsonObject json) {
        if (!json.hasObject("tls")) {
            return null;
        }
        JsonObject tls = json.object("tls");
        Path ca = Path.of(tls.text("ca"));
        if (!tls.has("certificate")) {
            return new Tls(ca, null, null);
        }
        return new Tls(ca, Path.of(tls.text("certificate")), Path.of(tls.text("key")));
    }

    /** Reads a secret from the file that the configuration names, because that file's permissions may be stricter. */
    private static String secret(JsonObject json, String key) {
        Path file = pathOrNull(json, key);
        if (file == null) {
            return null;
        }
        try {
            return Files.readString(file).strip();
        } catch (IOException e) {
            throw ConfigException.inFile(file, e);
        }
    }

    private static Path pathOrNull(JsonObject json, String key) {
        String text = json.textOrNull(key);
        return text == null ? null : Path.of(text);
    }

    private static List<String> strings(JsonObject json, String key, List<String> defaultValue) {
        if (!json.has(key)) {
            return defaultValue;
        }
        List<?> list = json.list(key);
        if (!(json.get(key) instanceof List<?>) || !list.stream().allMatch(String.class::isInstance)) {
            throw json.error(key, "registry: " + key + " must be a list of strings");
        }
        return list.stream().map(Object::toString).toList();
    }
}
