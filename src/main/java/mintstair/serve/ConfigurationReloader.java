package mintstair.serve;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import mintstair.config.FirstLine;
import mintstair.config.NodeConfig;
import mintstair.proxy.EventLoop;
import mintstair.routing.RequestRouter;

/**
 * Applies changed settings to the running services: those of the configuration file at SIGHUP, and those that the
 * registry holds. A configuration is checked as a whole before any of it is applied, and one that cannot be used
 * changes nothing. Calls come from the signal's and the registry's thread, and are handled one at a time.
 */
final class ConfigurationReloader {
    private final EventLoop loop;
    private final ProtocolServices services;
    /** What the process started with: a file read anew needs all that the first one had. */
    private final NodeConfig initial;

    private final boolean followsFileDiscovery;
    private volatile long longestDeadlineMicros;

    /** Guarded by this object. */
    private NodeConfig current;

    /** {@code followsFileDiscovery} is false where a registry stands in for PostgreSQL's discovery service. */
    ConfigurationReloader(EventLoop loop, ProtocolServices services, NodeConfig initial, boolean followsFileDiscovery) {
        this.loop = loop;
        this.services = services;
        this.initial = initial;
        this.followsFileDiscovery = followsFileDiscovery;
        current = initial;
        longestDeadlineMicros = initial.settings().longestDeadlineMicros();
    }

    /** The longest time that a request may take by the settings in force; on any thread. */
    long longestDeadlineMicros() {
        return longestDeadlineMicros;
    }

    /** Reads the file anew and applies its settings and the address of its discovery service. */
    synchronized void reloadFile(Path file) {
        try {
            NodeConfig changed = NodeConfig.reload(file, initial);
            apply(changed, followsFileDiscovery);
            InetSocketAddress discovery = changed.discovery();
            System.out.println("configuration read anew: " + classCount(changed) + " classes, discovery at "
                    + discovery.getHostString() + ":" + discovery.getPort());
        } catch (RuntimeException e) {
            reject(e);
        }
    }

    /** Applies the settings that the registry holds. */
    synchronized void applyRegistrySettings(byte[] text, long revision) {
        try {
            NodeConfig changed = current.withSettings(text, "settings at revision " + revision);
            apply(changed, false);
            System.out.println("settings taken over from the registry at revision " + revision + ": "
                    + classCount(changed) + " classes");
        } catch (RuntimeException e) {
            reject(e);
        }
    }

    /** Called under the lock. */
    private void apply(NodeConfig changed, boolean withDiscovery) {
        // A router of its own throws on settings that the decision module rejects, before the loop sees them.
        new RequestRouter(loop.now(), 0, changed.settings());
        longestDeadlineMicros = changed.settings().longestDeadlineMicros();
        current = changed;
        loop.execute(() -> {
            services.forEach(service -> service.applySettings(changed.settings()));
            if (withDiscovery) {
                services.postgresql().discoverAt(changed.discovery());
            }
            services.reloadCounters().reloadsSucceeded++;
        });
    }

    private void reject(RuntimeException failure) {
        loop.execute(() -> services.reloadCounters().reloadsFailed++);
        String reason = FirstLine.of(failure);
        System.err.println("mintstair: the old settings stay: " + reason);
    }

    private static int classCount(NodeConfig config) {
        return config.settings().classIndexes.size();
    }
}
