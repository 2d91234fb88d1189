package mintstair.config;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import mintstair.request.EndpointList;

/** What an operator sets up beside the platform's front; every part is off where its name is missing. */
public record OperatorConfig(
        Mongo mongodb, Recording record, Members store, RegistryConfig registry, MembershipConfig membership) {
    /** The second front: where it listens, and its hosts, listed here or by a discovery of their own. */
    public record Mongo(InetSocketAddress listen, InetSocketAddress discovery, EndpointList hosts) {}

    /** The file that client traffic is recorded to, and the bytes that it may grow to; or rotated files in a folder. */
    public record Recording(Path file, long mostBytes, Rotated rotated) {}

    /**
     * Rotated files: bytes and age at which one is followed by the next, bytes of all and of what may wait for the disk, whether
     * connections to hosts are recorded, the share of connections that are, and whether values are replaced by digests.
     */
    public record Rotated(
            Path folder,
            long fileBytes,
            long fileMicros,
            long totalBytes,
            long queueBytes,
            boolean hosts,
            double share,
            boolean digests) {}

    /** The replicated store: this daemon's member of it, all members, and the folder that this one keeps. */
    public record Members(String member, Map<String, InetSocketAddress> members, Path folder) {}

    public static final OperatorConfig NONE = new OperatorConfig(null, null, null, null, null);
    private static final Set<String> NAMES = Set.of("mongodb", "record", "store", "registry", "membership");
    private static final Set<String> RECORD_NAMES =
            Set.of("folder", "file_bytes", "file_s", "total_bytes", "queue_bytes", "hosts", "share", "digests");
    private static final long MOST_BYTES = 64 << 20;

    /** Reads the file; throws {@link ConfigException} with one plain line where it cannot be used. */
    public static OperatorConfig read(Path file) {
        try {
            if (!(Json.read(Files.readAllBytes(file)) instanceof Map<?, ?> map)) {
                throw new ConfigException("not an object");
            }
            for (Object name : map.keySet()) {
                if (!NAMES.contains(name) || !(map.get(name) instanceof Map<?, ?>)) {
                    throw new ConfigException("unknown setting " + name);
                }
            }
            RegistryConfig registry = map.get("registry") instanceof Map<?, ?> m ? RegistryConfig.read(m) : null;
            boolean listed = registry != null && registry.fronts().contains(RegistryConfig.MONGODB);
            if (listed && map.get("mongodb") == null) {
                throw new ConfigException("registry lists hosts of mongodb, which is not set up");
            }
            return new OperatorConfig(
                    map.get("mongodb") instanceof Map<?, ?> m ? mongo(m, listed) : null,
                    map.get("record") instanceof Map<?, ?> m ? recording(m) : null,
                    map.get("store") instanceof Map<?, ?> m ? members(m) : null,
                    registry,
                    map.get("membership") instanceof Map<?, ?> m ? MembershipConfig.read(m) : null);
        } catch (IOException | IllegalArgumentException | ConfigException e) {
            throw NodeConfig.unusable(file, e);
        }
    }

    private static Mongo mongo(Map<?, ?> m, boolean listed) throws IOException {
        InetSocketAddress discovery =
                m.get("discovery") == null ? null : NodeConfig.address(NodeConfig.text(m, "discovery"));
        EndpointList hosts = m.get("hosts") == null ? null : ListReader.read(m.get("hosts"));
        if (discovery == null && hosts == null && !listed) {
            throw new ConfigException("mongodb needs hosts or discovery, or a registry");
        }
        return new Mongo(NodeConfig.address(NodeConfig.text(m, "listen")), discovery, hosts);
    }

    private static Recording recording(Map<?, ?> m) {
        if (m.get("folder") == null) {
            return new Recording(
                    Path.of(NodeConfig.text(m, "file")), (long) number(m, "most_bytes", MOST_BYTES, 1), null);
        }
        for (Object name : m.keySet()) {
            if (!RECORD_NAMES.contains(name)) {
                throw new ConfigException("record: unknown setting " + name);
            }
        }
        long fileBytes = (long) number(m, "file_bytes", MOST_BYTES, 1 << 16);
        Rotated rotated = new Rotated(
                Path.of(NodeConfig.text(m, "folder")),
                fileBytes,
                (long) (number(m, "file_s", 600, 1) * 1e6),
                (long) number(m, "total_bytes", (double) (16 * fileBytes), (double) fileBytes),
                (long) number(m, "queue_bytes", 8 << 20, 1 << 16),
                Boolean.TRUE.equals(m.get("hosts")),
                number(m, "share", 1, 0),
                Boolean.TRUE.equals(m.get("digests")));
        if (rotated.share() > 1) {
            throw new ConfigException("record: share must be from 0 to 1");
        }
        return new Recording(null, 0, rotated);
    }

    private static double number(Map<?, ?> m, String name, double otherwise, double least) {
        if (m.get(name) == null) {
            return otherwise;
        }
        if (!(m.get(name) instanceof Number n) || !(n.doubleValue() >= least) || n.doubleValue() > 1e15) {
            throw new ConfigException("record: " + name + " must be a number from " + (long) least + " on");
        }
        return n.doubleValue();
    }

    private static Members members(Map<?, ?> m) {
        if (!(m.get("members") instanceof Map<?, ?> listed)) {
            throw new ConfigException("store needs its members");
        }
        Map<String, InetSocketAddress> members = new LinkedHashMap<>();
        listed.forEach((name, address) -> members.put(name.toString(), NodeConfig.address(String.valueOf(address))));
        String member = NodeConfig.text(m, "member");
        if (!members.containsKey(member)) {
            throw new ConfigException("store: " + member + " is none of its members");
        }
        return new Members(member, members, Path.of(NodeConfig.text(m, "folder")));
    }
}
