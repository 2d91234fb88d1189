package mintstair.registry;

import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Locale;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import mintstair.config.RegistryConfig;
import mintstair.registry.view.RegistryEntry;
import mintstair.registry.view.RegistryKeys;
import mintstair.registry.view.RegistryView;
import mintstair.registry.view.Snapshot;
import mintstair.registry.view.ViewMetrics;
import mintstair.registry.view.ViewTimeouts;
import mintstair.registry.view.ViewUpdate;
import mintstair.time.WallClock;

/**
 * The command {@code registry show}. Prints the contents of the registry or, if it cannot be reached, of the snapshot,
 * and then how each server responds.
 */
final class RegistryReport {
    private static final long TIMEOUT_MILLIS = 3_000;

    private final RegistryConfig config;
    private final RegistryKeys keys;
    private final PrintStream out;
    /** Released when the registry's list of a front has been received. */
    private final CountDownLatch listReceived = new CountDownLatch(1);
    /** Descriptions by front and host name. */
    private final TreeMap<String, String> hosts = new TreeMap<>();

    RegistryReport(RegistryConfig config, PrintStream out) {
        this.config = config;
        this.out = out;
        keys = new RegistryKeys(config.prefix(), config.fronts());
    }

    /** Prints the report and returns the exit status. */
    int print() {
        RegistryConfig liveConfig = RegistryCommand.withoutSnapshot(config, config.endpoints());
        try (RegistryClient client =
                new RegistryClient(liveConfig, ViewTimeouts.DEFAULT, System.nanoTime(), this::onUpdates)) {
            client.start();
            boolean reached = listReceived.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            ViewMetrics metrics = client.metrics();
            if (reached) {
                printView(metrics);
            } else {
                out.println("the registry is not reached; last break: " + metrics.lastFailure());
                printSnapshot();
            }
            if (metrics.lastFailureAtMicros() >= 0) {
                out.println("last break: " + metrics.lastFailure());
            }
            printServers();
            return reached ? RegistryCommand.STATUS_OK : RegistryCommand.STATUS_FAILED;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return RegistryCommand.STATUS_FAILED;
        }
    }

    private void onUpdates(List<ViewUpdate> updates, RegistryView view) {
        for (ViewUpdate update : updates) {
            if (update instanceof ViewUpdate.Endpoints endpoints && !endpoints.cached()) {
                endpoints
                        .list()
                        .entries()
                        .forEach(entry -> hosts.put(
                                endpoints.front() + " " + entry.host(), RegistryChangePrinter.describe(entry)));
                listReceived.countDown();
            }
        }
    }

    private void printView(ViewMetrics metrics) {
        out.println("revision " + metrics.revision() + ", cluster " + Long.toUnsignedString(metrics.clusterId(), 16)
                + ", " + metrics.hosts() + " hosts, age " + metrics.ageMicros() / 1000 + " ms, digest "
                + metrics.digest());
        hosts.forEach((name, description) -> out.println(name + " " + description));
    }

    private void printSnapshot() {
        Snapshot snapshot = readSnapshot();
        if (snapshot == null) {
            out.println("nothing is kept of an earlier run");
            return;
        }
        long ageMillis = Math.max(0, WallClock.millis() - snapshot.confirmedAtMicros() / 1000);
        out.println("as kept: revision " + snapshot.revision() + ", "
                + snapshot.entries().size() + " entries, age " + String.format(Locale.ROOT, "%.1f s", ageMillis / 1e3));
        for (RegistryEntry entry : snapshot.entries()) {
            out.println(entry.key() + " at " + entry.modRevision());
        }
    }

    /** Returns the snapshot; null if there is none or it is not valid, which is printed. */
    private Snapshot readSnapshot() {
        if (config.snapshot() == null) {
            return null;
        }
        try {
            return new SnapshotFile(config.snapshot()).read(config.prefix());
        } catch (IOException e) {
            out.println(config.snapshot() + ": " + e.getMessage());
            return null;
        }
    }

    private void printServers() {
        for (InetSocketAddress server : config.endpoints()) {
            out.println("endpoint " + server.getHostString() + ":" + server.getPort() + " " + responseOf(server));
        }
    }

    private String responseOf(InetSocketAddress server) {
        RegistryConfig oneServer = RegistryCommand.withoutSnapshot(config, List.of(server));
        try (RegistryEditor editor = RegistryClient.editor(oneServer)) {
            editor.get(keys.settingsKey());
            return "answers";
        } catch (RegistryException e) {
            return e.getMessage();
        }
    }
}
