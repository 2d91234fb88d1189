package mintstair.membership;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import mintstair.config.ConfigException;
import mintstair.config.NodeConfig;

/**
 * Resolved addresses of members. Each is resolved once, as resolving may block; a host name that changes its address
 * is not followed. Not thread-safe.
 */
final class AddressCache {
    private static final int MAX_ADDRESSES = 8_192;

    private final Map<String, InetSocketAddress> resolved = new HashMap<>();

    /**
     * The socket address for host:port; unresolved if the host is unknown.
     *
     * @throws ConfigException if the text is not an address
     */
    InetSocketAddress resolve(String address) {
        InetSocketAddress known = resolved.get(address);
        if (known != null) {
            return known;
        }
        if (resolved.size() >= MAX_ADDRESSES) {
            resolved.clear();
        }
        InetSocketAddress found = NodeConfig.parseAddress(address);
        resolved.put(address, found);
        return found;
    }
}
