package mintstair.serve;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import mintstair.config.FirstLine;
import mintstair.config.NodeConfig;
import mintstair.proxy.EventLoop;
import mintstair.routing.RequestRouter;

/**
 * Applies changed settings to the running services: those of the configuration file on SIGHUP, and those stored in the
 * registry. A configuration is validated completely before it is applied, and an invalid one changes nothing. Reloads
 * are requested on the signal thread and the registry thread, and run one at a time.
 */
final class ConfigurationReloader {
    private final EventLoop loop;
    private final ProtocolServices services;
    /** The configuration of the start; a reloaded file must contain all parts that it had. */
    private final NodeConfig initial;

    private final boolean usesDiscoveryOfFile;
    private volatile long longestDeadlineMicros;

    /** Guarded by this object. */
    private NodeConfig current;

    /** {@code usesDiscoveryOfFile} is false if a registry replaces the discovery service of PostgreSQL. */
    ConfigurationReloader(EventLoop loop, ProtocolServices services, NodeConfig initial, boolean usesDiscoveryOfFile) {
        this.loop = loop;
        this.services = services;
        this.initial = initial;
        this.usesDiscoveryOfFile = usesDiscoveryOfFile;
        current = initial;
        longestDeadlineMicros = initial.settings().longestDeadlineMicros();
    }

    /** Returns the longest request deadline of the current settings. May be called on any thread. */
    long longestDeadlineMicros() {
        return longestDeadlineMicros;
    }

    /** Reloads the file: applies its settings and the address of its discovery service. */
    synchronized void reloadFile(Path file) {
        try {
            NodeConfig changed = NodeConfig.reload(file, initial);
            apply(changed, usesDiscoveryOfFile);
            InetSocketAddress discovery = changed.discovery();
            System.out.println("configuration read anew: " + classCount(changed) + " classes, discovery at "
                    + discovery.getHostString() + ":" + discovery.getPort());
        } catch (RuntimeException e) {
            reject(e);
        }
    }

    /** Applies settings that were received from the registry. */
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

    /** Must be called with the lock held. */
    private void apply(NodeConfig changed, boolean appliesDiscovery) {
        // Constructing a router throws on settings that the decision module rejects, before they reach the loop.
        new RequestRouter(loop.now(), 0, changed.settings());
        longestDeadlineMicros = changed.settings().longestDeadlineMicros();
        current = changed;
        loop.execute(() -> {
            services.forEach(service -> service.applySettings(changed.settings()));
            if (appliesDiscovery) {
                services.postgresql().changeDiscoveryService(changed.discovery());
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
