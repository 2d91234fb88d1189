package mintstair.config;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Set;
import mintstair.discovery.ListReader;
import mintstair.request.HostList;

/** What an operator sets up beside the platform's front; every part is off where its name is missing. */
public record OperatorConfig(Mongo mongodb) {
    /** The second front: where it listens, and its hosts, listed here or by a discovery of their own. */
    public record Mongo(InetSocketAddress listen, InetSocketAddress discovery, HostList hosts) { }

    public static final OperatorConfig NONE = new OperatorConfig(null);
    private static final Set<String> NAMES = Set.of("mongodb");

    /** Reads the file; throws {@link ConfigException} with one plain line where it cannot be used. */
    public static OperatorConfig read(Path file) {
        try {
            if (!(Json.read(Files.readAllBytes(file)) instanceof Map<?, ?> map)) {
                throw new ConfigException("not an object");
            }
            for (Object name : map.keySet()) {
                if (!NAMES.contains(name)) {
                    throw new ConfigException("unknown setting " + name);
                }
            }
            return new OperatorConfig(map.get("mongodb") instanceof Map<?, ?> m ? mongo(m) : null);
        } catch (IOException | IllegalArgumentException | ConfigException e) {
            throw new ConfigException(file + ": " + String.valueOf(e.getMessage()).split("\n")[0]);
        }
    }

    private static Mongo mongo(Map<?, ?> m) {
        InetSocketAddress discovery = m.get("discovery") == null ? null : NodeConfig.address(NodeConfig.text(m, "discovery"));
        HostList hosts = m.get("hosts") == null ? null : ListReader.read(m.get("hosts"));
        if (discovery == null && hosts == null) {
            throw new ConfigException("mongodb needs hosts or discovery");
        }
        return new Mongo(NodeConfig.address(NodeConfig.text(m, "listen")), discovery, hosts);
    }
}
