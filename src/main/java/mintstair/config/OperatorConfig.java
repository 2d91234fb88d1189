package mintstair.config;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import mintstair.request.HostList;

/** What an operator sets up beside the platform's front; every part is off where its name is missing. */
public record OperatorConfig(Mongo mongodb, Recording record, Members store, RegistryConfig registry) {
    /** The second front: where it listens, and its hosts, listed here or by a discovery of their own. */
    public record Mongo(InetSocketAddress listen, InetSocketAddress discovery, HostList hosts) { }

    /** The file that client traffic is recorded to, and the bytes that it may grow to. */
    public record Recording(Path file, long mostBytes) { }

    /** The replicated store: this daemon's member of it, all members, and the folder that this one keeps. */
    public record Members(String member, Map<String, InetSocketAddress> members, Path folder) { }

    public static final OperatorConfig NONE = new OperatorConfig(null, null, null, null);
    private static final Set<String> NAMES = Set.of("mongodb", "record", "store", "registry");
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
            return new OperatorConfig(map.get("mongodb") instanceof Map<?, ?> m ? mongo(m, listed) : null,
                map.get("record") instanceof Map<?, ?> m ? recording(m) : null,
                map.get("store") instanceof Map<?, ?> m ? members(m) : null, registry);
        } catch (IOException | IllegalArgumentException | ConfigException e) {
            throw NodeConfig.unusable(file, e);
        }
    }

    private static Mongo mongo(Map<?, ?> m, boolean listed) throws IOException {
        InetSocketAddress discovery = m.get("discovery") == null ? null
            : NodeConfig.address(NodeConfig.text(m, "discovery"));
        HostList hosts = m.get("hosts") == null ? null : ListReader.read(m.get("hosts"));
        if (discovery == null && hosts == null && !listed) {
            throw new ConfigException("mongodb needs hosts or discovery, or a registry");
        }
        return new Mongo(NodeConfig.address(NodeConfig.text(m, "listen")), discovery, hosts);
    }

    private static Recording recording(Map<?, ?> m) {
        long most = m.get("most_bytes") instanceof Number n ? n.longValue() : MOST_BYTES;
        return new Recording(Path.of(NodeConfig.text(m, "file")), most);
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
