package mintstair.registry;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import mintstair.config.RegistryConfig;
import mintstair.registry.consul.ConsulEditor;
import mintstair.registry.consul.ConsulWire;
import mintstair.registry.etcd.EtcdEditor;
import mintstair.registry.etcd.EtcdWire;
import mintstair.registry.view.Event;
import mintstair.registry.view.Limits;
import mintstair.registry.view.Names;
import mintstair.registry.view.Order;
import mintstair.registry.view.PollView;
import mintstair.registry.view.RegistryView;
import mintstair.registry.view.Snapshot;
import mintstair.registry.view.Step;
import mintstair.registry.view.Times;
import mintstair.registry.view.ViewMetrics;
import mintstair.registry.view.ViewUpdate;
import mintstair.registry.view.WatchView;
import mintstair.time.MonotonicClock;

/**
 * Follows a registry on a thread of its own, "registry": events of the wire and the time go into the view, its orders to the
 * wire, what it tells to the listener. The wire hands over one message of a call at a time, so nothing piles up here.
 */
public final class RegistryClient implements AutoCloseable {
    /** Is told on the client's thread, and must not block it. */
    public interface Listener {
        /** All that takes effect together; {@code view} is to be asked for everything, if something before was lost. */
        void told(List<ViewUpdate> told, RegistryView view);
    }

    /** A view that does not change is kept anew after this long, so that the file tells when it was last known to be true. */
    private static final long SAME_KEPT_FOR = 60_000_000;

    private final RegistryConfig config;
    private final RegistryView view;
    private final RegistryWire wire;
    private final Listener listener;
    private final SnapshotFile file;
    private final ScheduledThreadPoolExecutor thread;
    private final MonotonicClock clock = new MonotonicClock();
    private Future<?> alarm;
    private long alarmAt = Long.MAX_VALUE;
    private volatile ViewMetrics figures;
    private volatile long figuresAt;
    private long keptRevision = -1;
    private long keptHeard;
    private boolean cannotKeep;

    /** Makes the client that the configuration names; {@link #start} begins. */
    public RegistryClient(RegistryConfig config, Times times, long seed, Listener listener) {
        this.config = config;
        this.listener = listener;
        Names names = new Names(config.prefix(), config.fronts());
        int endpoints = config.endpoints().size();
        boolean etcd = config.kind() == RegistryConfig.Kind.ETCD;
        view = etcd
                ? new WatchView(names, Limits.USUAL, times, endpoints, seed)
                : new PollView(names, Limits.USUAL, times, endpoints, seed);
        if (config.tls() != null) {
            // Files that can't be used are told now, not at the first connection.
            new TlsFiles(config.tls());
        }
        file = config.snapshot() == null ? null : new SnapshotFile(config.snapshot());
        thread = new ScheduledThreadPoolExecutor(1, task -> {
            Thread made = new Thread(task, "registry");
            made.setDaemon(true);
            return made;
        });
        thread.setRemoveOnCancelPolicy(true);
        thread.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
        thread.setRejectedExecutionHandler((task, ended) -> {});
        Executor executor = task -> thread.execute(() -> guarded(task));
        wire = etcd ? new EtcdWire(config, executor, this::event) : new ConsulWire(config, executor, this::event);
        figures = view.figures(now());
    }

    /** Edits entries of the registry that the configuration names. */
    public static RegistryEditor editor(RegistryConfig config) {
        return config.kind() == RegistryConfig.Kind.ETCD ? new EtcdEditor(config) : new ConsulEditor(config);
    }

    /** Begins: with the last run's snapshot, if there is one, then with the registry. */
    public void start() {
        thread.execute(() -> guarded(() -> {
            Snapshot kept = file == null ? null : file.read(config.prefix(), this::line);
            if (kept != null) {
                keptRevision = kept.revision();
                line("registry: starting from " + config.snapshot() + ", revision " + kept.revision() + ", "
                        + Math.max(0, now() - kept.heard()) / 1_000_000 + " s old");
            }
            carryOut(view.start(now(), kept));
        }));
        if (file != null) {
            thread.scheduleWithFixedDelay(
                    () -> guarded(this::keep),
                    config.snapshotEveryMicros(),
                    config.snapshotEveryMicros(),
                    TimeUnit.MICROSECONDS);
        }
    }

    /** Unix microseconds that never go back, whatever is done to the system's clock meanwhile. */
    private long now() {
        return clock.getAsLong();
    }

    private void guarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            System.err.println("registry: unexpected: " + e);
            e.printStackTrace();
        }
    }

    /** The wires hand their events over on this client's thread. */
    private void event(Event event, Runnable taken) {
        carryOut(view.on(now(), event));
        taken.run();
    }

    private void tick() {
        alarmAt = Long.MAX_VALUE;
        carryOut(view.tick(now()));
    }

    private void carryOut(Step step) {
        if (!step.told().isEmpty()) {
            listener.told(step.told(), view);
        }
        figuresAt = now();
        figures = view.figures(figuresAt);
        for (Order order : step.orders()) {
            wire.carryOut(order);
        }
        long wake = view.wakeAt();
        if (wake != alarmAt && wake != Long.MAX_VALUE) {
            if (alarm != null) {
                alarm.cancel(false);
            }
            alarmAt = wake;
            alarm = thread.schedule(() -> guarded(this::tick), Math.max(0, wake - now()), TimeUnit.MICROSECONDS);
        }
    }

    private void keep() {
        Snapshot now = view.snapshot();
        if (now == null || (now.revision() == keptRevision && now.heard() < keptHeard + SAME_KEPT_FOR && !cannotKeep)) {
            return;
        }
        try {
            file.write(now);
            keptRevision = now.revision();
            keptHeard = now.heard();
            cannotKeep = false;
        } catch (IOException e) {
            if (!cannotKeep) {
                line("registry: " + config.snapshot() + " can't be written: " + e.getMessage());
            }
            cannotKeep = true;
        }
    }

    private void line(String text) {
        listener.told(List.of(new ViewUpdate.LogLine(text)), view);
    }

    /** The newest figures; from any thread. */
    public ViewMetrics figures() {
        ViewMetrics f = figures;
        long passed = Math.max(0, now() - figuresAt);
        return f.age() < 0
                ? f
                : new ViewMetrics(
                        f.cluster(),
                        f.revision(),
                        f.age() + passed,
                        f.live(),
                        f.hosts(),
                        f.digest(),
                        f.endpoint(),
                        f.brokenAt(),
                        f.brokenWhy(),
                        f.counts());
    }

    /** Where the last whole view is kept, or null. */
    public Path snapshotFile() {
        return config.snapshot();
    }

    /** Keeps the view and ends; waits for a second at most. */
    @Override
    public void close() {
        thread.execute(() -> guarded(() -> {
            if (file != null) {
                keep();
            }
            wire.close();
        }));
        thread.shutdown();
        try {
            thread.awaitTermination(1, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        thread.shutdownNow();
    }
}
