package mintstair.registry;

import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import mintstair.config.RegistryConfig;
import mintstair.log.GuardedTask;
import mintstair.registry.consul.ConsulEditor;
import mintstair.registry.consul.ConsulTransport;
import mintstair.registry.etcd.EtcdEditor;
import mintstair.registry.etcd.EtcdTransport;
import mintstair.registry.view.PollView;
import mintstair.registry.view.RegistryCall;
import mintstair.registry.view.RegistryEvent;
import mintstair.registry.view.RegistryKeys;
import mintstair.registry.view.RegistryView;
import mintstair.registry.view.Snapshot;
import mintstair.registry.view.ViewLimits;
import mintstair.registry.view.ViewMetrics;
import mintstair.registry.view.ViewStep;
import mintstair.registry.view.ViewTimeouts;
import mintstair.registry.view.ViewUpdate;
import mintstair.registry.view.WatchView;
import mintstair.time.MonotonicClock;

/**
 * Follows a registry. Runs a {@link RegistryView} on its own thread, named "registry": passes the transport's events
 * and the time to the view, the view's calls to the transport, and the view's updates to the listener. The transport
 * reads one message of a call at a time, which bounds the number of queued events. Thread-safe.
 */
public final class RegistryClient implements AutoCloseable {
    /** Receives updates on the client's thread, which it must not block. */
    public interface Listener {
        /**
         * Receives updates that take effect together.
         *
         * @param view the view after the updates, from which a listener that has lost updates can read the complete
         *     state; valid only during the call
         */
        void onUpdates(List<ViewUpdate> updates, RegistryView view);
    }

    private static final long NOT_SCHEDULED = Long.MAX_VALUE;
    private static final long CLOSE_TIMEOUT_SECONDS = 1;

    private final RegistryConfig config;
    private final RegistryView view;
    private final RegistryTransport transport;
    private final Listener listener;
    /** The snapshot file; null if no snapshot is configured. */
    private final SnapshotFile snapshotFile;
    /** The writer of the snapshot file; null if no snapshot is configured. */
    private final SnapshotWriter snapshotWriter;

    private final ScheduledThreadPoolExecutor thread;
    private final MonotonicClock clock = new MonotonicClock();
    private Future<?> wakeUp;
    private long wakeUpAtMicros = NOT_SCHEDULED;
    private volatile ViewMetrics metrics;
    private volatile long metricsAtMicros;

    /**
     * Creates the client, which follows the registry once {@link #start} is called.
     *
     * @param seed the seed of the view's random numbers
     * @throws mintstair.config.ConfigException if a TLS file is not usable
     */
    public RegistryClient(RegistryConfig config, ViewTimeouts timeouts, long seed, Listener listener) {
        this.config = config;
        this.listener = listener;
        view = newView(config, timeouts, seed);
        if (config.tls() != null) {
            // Reports unusable files at start-up instead of at the first connection.
            new TlsFiles(config.tls());
        }
        snapshotFile = config.snapshot() == null ? null : new SnapshotFile(config.snapshot());
        snapshotWriter = snapshotFile == null
                ? null
                : new SnapshotWriter(
                        snapshotFile,
                        e -> log("snapshot " + config.snapshot() + " cannot be written: " + e.getMessage()));
        thread = newThread();
        transport = newTransport(this::execute);
        metrics = view.metrics(nowMicros());
    }

    private static RegistryView newView(RegistryConfig config, ViewTimeouts timeouts, long seed) {
        RegistryKeys keys = new RegistryKeys(config.prefix(), config.fronts());
        int servers = config.endpoints().size();
        return switch (config.kind()) {
            case ETCD -> new WatchView(keys, ViewLimits.DEFAULT, timeouts, servers, seed);
            case CONSUL -> new PollView(keys, ViewLimits.DEFAULT, timeouts, servers, seed);
        };
    }

    private RegistryTransport newTransport(Executor executor) {
        return switch (config.kind()) {
            case ETCD -> new EtcdTransport(config, executor, this::onEvent);
            case CONSUL -> new ConsulTransport(config, executor, this::onEvent);
        };
    }

    private static ScheduledThreadPoolExecutor newThread() {
        ScheduledThreadPoolExecutor thread = new ScheduledThreadPoolExecutor(1, task -> {
            Thread created = new Thread(task, "registry");
            created.setDaemon(true);
            return created;
        });
        thread.setRemoveOnCancelPolicy(true);
        thread.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
        // Drops events that arrive after the client was closed.
        thread.setRejectedExecutionHandler((task, executor) -> {});
        return thread;
    }

    /** Returns an editor for the entries of the configured registry; the caller must close it. */
    public static RegistryEditor editor(RegistryConfig config) {
        return switch (config.kind()) {
            case ETCD -> new EtcdEditor(config);
            case CONSUL -> new ConsulEditor(config);
        };
    }

    /** Loads the snapshot of the previous run, if there is one, and starts to follow the registry. */
    public void start() {
        execute(() -> {
            Snapshot snapshot = readSnapshot();
            perform(view.start(nowMicros(), snapshot));
        });
        if (snapshotWriter != null) {
            thread.scheduleWithFixedDelay(
                    new GuardedTask("registry", this::writeSnapshot),
                    config.snapshotEveryMicros(),
                    config.snapshotEveryMicros(),
                    TimeUnit.MICROSECONDS);
        }
    }

    private Snapshot readSnapshot() {
        if (snapshotFile == null) {
            return null;
        }
        Snapshot snapshot = snapshotFile.readOrMoveAside(config.prefix(), this::emitLine);
        if (snapshot != null) {
            snapshotWriter.setWrittenRevision(snapshot.revision());
            long ageSeconds = Math.max(0, nowMicros() - snapshot.confirmedAtMicros()) / 1_000_000;
            log("starting from " + config.snapshot() + ", revision " + snapshot.revision() + ", " + ageSeconds
                    + " s old");
        }
        return snapshot;
    }

    private void writeSnapshot() {
        snapshotWriter.writeIfDue(view);
    }

    /** Returns the Unix time in microseconds; it never decreases, even if the system clock is set back. */
    private long nowMicros() {
        return clock.getAsLong();
    }

    private void execute(Runnable task) {
        thread.execute(new GuardedTask("registry", task));
    }

    private void onEvent(RegistryEvent event) {
        perform(view.on(nowMicros(), event));
    }

    private void onWakeUp() {
        wakeUpAtMicros = NOT_SCHEDULED;
        perform(view.tick(nowMicros()));
    }

    /** Performs a step. An exception in the listener prevents neither the step's calls nor the next wake-up. */
    private void perform(ViewStep step) {
        if (!step.updates().isEmpty()) {
            new GuardedTask("registry", () -> listener.onUpdates(step.updates(), view)).run();
        }
        metricsAtMicros = nowMicros();
        metrics = view.metrics(metricsAtMicros);
        for (RegistryCall call : step.calls()) {
            transport.execute(call);
        }
        scheduleWakeUp();
    }

    private void scheduleWakeUp() {
        long atMicros = view.wakeAt();
        if (atMicros == wakeUpAtMicros || atMicros == NOT_SCHEDULED) {
            return;
        }
        if (wakeUp != null) {
            wakeUp.cancel(false);
        }
        wakeUpAtMicros = atMicros;
        long delayMicros = Math.max(0, atMicros - nowMicros());
        wakeUp = thread.schedule(new GuardedTask("registry", this::onWakeUp), delayMicros, TimeUnit.MICROSECONDS);
    }

    private void log(String text) {
        emitLine("registry: " + text);
    }

    private void emitLine(String line) {
        listener.onUpdates(List.of(new ViewUpdate.LogLine(line)), view);
    }

    /** Returns the metrics of the last step, with the age of the view advanced to now. */
    public ViewMetrics metrics() {
        ViewMetrics newest = metrics;
        return newest.aged(Math.max(0, nowMicros() - metricsAtMicros));
    }

    /** Writes the snapshot, closes the connection and stops the thread; waits for at most one second. */
    @Override
    public void close() {
        execute(() -> {
            if (snapshotWriter != null) {
                writeSnapshot();
            }
            transport.close();
        });
        thread.shutdown();
        try {
            thread.awaitTermination(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        thread.shutdownNow();
    }
}
