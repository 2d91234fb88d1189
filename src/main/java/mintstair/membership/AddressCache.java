package mintstair.membership;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import mintstair.config.ConfigException;
import mintstair.config.NodeConfig;

/**
 * Caches the resolved addresses of members. Each address is resolved once, because resolving may block; a later change
 * of a host name's address is not noticed while the entry is cached. Not thread-safe.
 */
final class AddressCache {
    private static final int MAX_ADDRESSES = 8_192;

    private final Map<String, InetSocketAddress> resolved = new HashMap<>();

    /**
     * Returns the socket address for {@code host:port}; it is unresolved if the host name cannot be resolved.
     *
     * @throws ConfigException if the text is not of the form {@code host:port}
     */
    InetSocketAddress resolve(String address) {
        InetSocketAddress cached = resolved.get(address);
        if (cached != null) {
            return cached;
        }
        if (resolved.size() >= MAX_ADDRESSES) {
            resolved.clear();
        }
        InetSocketAddress socketAddress = NodeConfig.parseAddress(address);
        resolved.put(address, socketAddress);
        return socketAddress;
    }
}
