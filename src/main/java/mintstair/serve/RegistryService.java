package mintstair.serve;

import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import mintstair.config.RegistryConfig;
import mintstair.registry.RegistryClient;
import mintstair.registry.view.RegistryView;
import mintstair.registry.view.ViewMetrics;
import mintstair.registry.view.ViewTimeouts;
import mintstair.registry.view.ViewUpdate;
import mintstair.stats.MetricsSnapshot;

/**
 * Watches the registry that replaces the discovery service. Passes its endpoint lists to the event loop, its settings
 * to a listener, and its log lines to standard error. Updates arrive on the registry's thread.
 */
final class RegistryService implements AutoCloseable {
    private static final int MICROS_PER_MILLI = 1_000;
    /** Event counts that are reported as 0 until the event has occurred. */
    private static final List<String> EVENT_COUNTS =
            List.of("breaks", "readings", "compacted", "replaced", "set_back", "unreadable", "overflown");

    /** Receives the settings stored in the registry, not yet validated. Called on the registry's thread. */
    interface SettingsListener {
        void onSettings(byte[] text, long revision);
    }

    private final RegistryClient client;
    private final EndpointUpdateQueue endpointUpdates;
    private final SettingsListener settingsListener;

    /** Creates a client, which is not started; {@code endpointListener} is called on the loop. */
    RegistryService(
            RegistryConfig config,
            long seed,
            Executor loop,
            Consumer<ViewUpdate.Endpoints> endpointListener,
            SettingsListener settingsListener) {
        this.settingsListener = settingsListener;
        endpointUpdates = new EndpointUpdateQueue(loop, endpointListener);
        client = new RegistryClient(config, ViewTimeouts.DEFAULT, seed, this::onUpdates);
    }

    /** Starts to watch the registry. */
    void start() {
        client.start();
    }

    private void onUpdates(List<ViewUpdate> updates, RegistryView view) {
        endpointUpdates.offer(endpointsOf(updates), () -> endpointsOf(view.fullUpdate()));
        for (ViewUpdate update : updates) {
            if (update instanceof ViewUpdate.Settings settings) {
                settingsListener.onSettings(settings.text(), settings.revision());
            } else if (update instanceof ViewUpdate.LogLine line) {
                System.err.println(line.text());
            }
        }
    }

    private static List<ViewUpdate.Endpoints> endpointsOf(List<ViewUpdate> updates) {
        return updates.stream()
                .filter(ViewUpdate.Endpoints.class::isInstance)
                .map(ViewUpdate.Endpoints.class::cast)
                .toList();
    }

    /** Adds the metrics of the registry view. May be called on any thread. */
    void addTo(MetricsSnapshot.Builder metrics) {
        ViewMetrics view = client.metrics();
        metrics.add("registry_live", view.live() ? 1 : 0)
                .add("registry_revision", view.revision())
                .add("registry_age_ms", view.ageMicros() < 0 ? -1 : view.ageMicros() / MICROS_PER_MILLI)
                .add("registry_hosts", view.hosts())
                .add("registry_digest", view.digest())
                .add("registry_endpoint", view.server())
                .add("registry_conflated", endpointUpdates.conflations());
        EVENT_COUNTS.forEach(name -> metrics.add("registry_" + name, 0));
        view.counts().forEach((name, count) -> metrics.add("registry_" + name, count));
    }

    @Override
    public void close() {
        client.close();
    }
}
