package mintstair.config;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The registry that holds the host list: its endpoints, the prefix of its entries, the fronts whose hosts it lists. {@code user},
 * {@code secret} (the password, or Consul's token), {@code tls} and {@code snapshot} may be null.
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
    /** The wires. */
    public enum Kind {
        ETCD,
        CONSUL
    }

    /** PEM files: the authorities that vouch for the servers, and this client's certificate and key, or null for both. */
    public record Tls(Path ca, Path certificate, Path key) {}

    /** The fronts by their names in the registry. */
    public static final String POSTGRESQL = "postgresql";

    public static final String MONGODB = "mongodb";

    private static final Set<String> NAMES = Set.of(
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

    static RegistryConfig read(Map<?, ?> m) throws IOException {
        for (Object name : m.keySet()) {
            if (!NAMES.contains(name)) {
                throw new ConfigException("registry: unknown setting " + name);
            }
        }
        Kind kind = switch (NodeConfig.text(m, "kind")) {
            case "etcd" -> Kind.ETCD;
            case "consul" -> Kind.CONSUL;
            default -> throw new ConfigException("registry: kind is etcd or consul");
        };
        List<InetSocketAddress> endpoints = new ArrayList<>();
        for (String each : texts(m, "endpoints", List.of())) {
            endpoints.add(NodeConfig.address(each));
        }
        String prefix = NodeConfig.text(m, "prefix");
        if (!prefix.matches("[!-~]*/") || prefix.length() > 200) {
            throw new ConfigException("registry: prefix must be of printable ASCII and end with /");
        }
        List<String> fronts = texts(m, "fronts", List.of(POSTGRESQL));
        if (endpoints.isEmpty()
                || fronts.isEmpty()
                || !Set.of(POSTGRESQL, MONGODB).containsAll(fronts)) {
            throw new ConfigException("registry needs endpoints, and fronts among " + POSTGRESQL + " and " + MONGODB);
        }
        String secretFile = kind == Kind.ETCD ? "password_file" : "token_file";
        String user = m.get("user") == null ? null : NodeConfig.text(m, "user");
        if (user != null && m.get(secretFile) == null) {
            throw new ConfigException("registry: user needs password_file");
        }
        double every = m.get("snapshot_every_s") instanceof Number n ? n.doubleValue() : 5;
        if (!(every >= 0.1 && every <= 3600)) {
            throw new ConfigException("registry: snapshot_every_s must be from 0.1 to 3600");
        }
        return new RegistryConfig(
                kind,
                endpoints,
                prefix,
                fronts,
                user,
                m.get(secretFile) == null ? null : secret(Path.of(NodeConfig.text(m, secretFile))),
                m.get("tls") instanceof Map<?, ?> t ? tls(t) : null,
                m.get("snapshot") == null ? null : Path.of(NodeConfig.text(m, "snapshot")),
                (long) (every * 1e6));
    }

    private static Tls tls(Map<?, ?> m) {
        boolean shown = m.get("certificate") != null;
        return new Tls(
                Path.of(NodeConfig.text(m, "ca")),
                shown ? Path.of(NodeConfig.text(m, "certificate")) : null,
                shown ? Path.of(NodeConfig.text(m, "key")) : null);
    }

    /** Secrets are only ever named by their file. */
    private static String secret(Path file) throws IOException {
        try {
            return Files.readString(file).strip();
        } catch (IOException e) {
            throw NodeConfig.unusable(file, e);
        }
    }

    private static List<String> texts(Map<?, ?> m, String name, List<String> otherwise) {
        if (m.get(name) == null) {
            return otherwise;
        }
        if (!(m.get(name) instanceof List<?> list) || !list.stream().allMatch(each -> each instanceof String)) {
            throw new ConfigException("registry: " + name + " must be a list of texts");
        }
        return list.stream().map(Object::toString).toList();
    }
}
