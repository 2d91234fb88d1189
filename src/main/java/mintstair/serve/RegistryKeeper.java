package mintstair.serve;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import mintstair.config.RegistryConfig;
import mintstair.registry.RegistryClient;
import mintstair.registry.view.RegistryView;
import mintstair.registry.view.ViewMetrics;
import mintstair.registry.view.ViewTimeouts;
import mintstair.registry.view.ViewUpdate;
import mintstair.stats.MetricsSnapshot;

/** The registry in place of discovery: its lists go to the loop, its settings to be checked, its lines to the log. */
final class RegistryKeeper implements AutoCloseable {
    /** Takes settings that the registry holds; on the registry's thread. */
    interface SettingsTaker {
        void take(byte[] text, long revision);
    }

    private final RegistryClient client;
    private final EndpointUpdateQueue handover;

    RegistryKeeper(
            RegistryConfig config,
            long seed,
            Executor loop,
            Consumer<ViewUpdate.Endpoints> hosts,
            SettingsTaker settings) {
        handover = new EndpointUpdateQueue(loop, hosts);
        client = new RegistryClient(config, ViewTimeouts.DEFAULT, seed, (told, view) -> told(told, view, settings));
    }

    void start() {
        client.start();
    }

    private void told(List<ViewUpdate> told, RegistryView view, SettingsTaker settings) {
        List<ViewUpdate.Endpoints> hosts = hosts(told);
        handover.offer(hosts, () -> hosts(view.fullUpdate()));
        for (ViewUpdate each : told) {
            if (each instanceof ViewUpdate.Settings s) {
                settings.take(s.text(), s.revision());
            } else if (each instanceof ViewUpdate.LogLine line) {
                System.err.println(line.text());
            }
        }
    }

    private static List<ViewUpdate.Endpoints> hosts(List<ViewUpdate> told) {
        List<ViewUpdate.Endpoints> hosts = new ArrayList<>();
        for (ViewUpdate each : told) {
            if (each instanceof ViewUpdate.Endpoints h) {
                hosts.add(h);
            }
        }
        return hosts;
    }

    /** Adds where the view stands to the figures of the second address; from any thread. */
    void addTo(MetricsSnapshot.Builder metrics) {
        ViewMetrics f = client.metrics();
        metrics.add("registry_live", f.live() ? 1 : 0)
                .add("registry_revision", f.revision())
                .add("registry_age_ms", f.ageMicros() < 0 ? -1 : f.ageMicros() / 1000)
                .add("registry_hosts", f.hosts())
                .add("registry_digest", f.digest())
                .add("registry_endpoint", f.server())
                .add("registry_conflated", handover.conflated());
        for (String name :
                List.of("breaks", "readings", "compacted", "replaced", "set_back", "unreadable", "overflown")) {
            metrics.add("registry_" + name, 0);
        }
        for (Map.Entry<String, Long> count : f.counts().entrySet()) {
            metrics.add("registry_" + count.getKey(), count.getValue());
        }
    }

    @Override
    public void close() {
        client.close();
    }
}
