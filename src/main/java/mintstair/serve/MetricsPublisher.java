package mintstair.serve;

import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import mintstair.log.NonBlockingOutput;
import mintstair.proxy.EventLoop;
import mintstair.stats.MetricsSnapshot;
import mintstair.stats.MinimumHeapUse;
import mintstair.wire.AcceptRetryStrategy;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;

/**
 * Publishes a snapshot of all metrics at a fixed interval, so that readers never wait for the event loop, and logs the
 * heap in use. Confined to the event loop, except for {@link #start}.
 */
final class MetricsPublisher {
    private static final long SNAPSHOT_INTERVAL_MICROS = 100_000;
    /** The interval of the log line that shows memory leaks. */
    private static final long HEAP_LOG_INTERVAL_MICROS = 60_000_000;

    private static final int BYTES_PER_KB = 1_024;

    /** A part of the program that has metrics; called on the loop. */
    interface Source {
        void addTo(MetricsSnapshot.Builder metrics);
    }

    private final EventLoop loop;
    private final AcceptRetryStrategy acceptStrategy;
    private final List<Source> sources;
    private final AtomicReference<MetricsSnapshot> latest;
    private final MinimumHeapUse heapUse = new MinimumHeapUse();

    /**
     * @param sources add their metrics in this order
     * @param latest receives each snapshot
     */
    MetricsPublisher(
            EventLoop loop, TCPNIOTransport transport, List<Source> sources, AtomicReference<MetricsSnapshot> latest) {
        this.loop = loop;
        acceptStrategy = (AcceptRetryStrategy) transport.getIOStrategy();
        this.sources = sources;
        this.latest = latest;
    }

    /** Publishes the first snapshot and schedules the following ones. May be called on any thread. */
    void start() {
        loop.execute(this::publish);
        loop.every(SNAPSHOT_INTERVAL_MICROS, this::publish);
        loop.every(HEAP_LOG_INTERVAL_MICROS, this::logHeap);
    }

    /** Publishes one snapshot. */
    void publish() {
        MetricsSnapshot.Builder metrics = new MetricsSnapshot.Builder();
        sources.forEach(source -> source.addTo(metrics));
        metrics.add("unexpected_errors", loop.failedTasks())
                .add("log_lines_dropped", NonBlockingOutput.droppedByStandardStreams())
                .add("accepts_failed", acceptStrategy.failures());
        latest.set(metrics.build());
        Runtime runtime = Runtime.getRuntime();
        heapUse.sample(runtime.totalMemory() - runtime.freeMemory());
    }

    private void logHeap() {
        System.out.println("heap: least in use " + heapUse.getAndReset() / BYTES_PER_KB + " kB in the last minute");
    }
}
