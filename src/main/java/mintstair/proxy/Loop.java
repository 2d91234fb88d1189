package mintstair.proxy;

import java.time.Instant;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/** The one thread on which every decision is taken and every pool and session is kept. */
public final class Loop implements AutoCloseable {
    private final ScheduledThreadPoolExecutor thread;
    private long latest;

    private final LongSupplier clock;

    /** A loop on the system's clock. */
    public Loop() {
        this(() -> {
            Instant t = Instant.now();
            return t.getEpochSecond() * 1_000_000 + t.getNano() / 1000;
        });
    }

    /** A loop on a clock that tells Unix microseconds. */
    public Loop(LongSupplier clock) {
        this.clock = clock;
        thread = new ScheduledThreadPoolExecutor(1, task -> new Thread(task, "loop"));
        thread.setRemoveOnCancelPolicy(true);
        // What the network still has to say after the end is of no interest.
        thread.setRejectedExecutionHandler((task, ended) -> { });
    }

    /** Unix microseconds; a system clock that is set back stands still here. */
    public synchronized long now() {
        latest = Math.max(latest, clock.getAsLong());
        return latest;
    }

    public void execute(Runnable task) {
        thread.execute(() -> run(task));
    }

    /** Runs the task at this time, or soon where it has passed. */
    public Future<?> at(long time, Runnable task) {
        return thread.schedule(() -> run(task), Math.max(0, time - now()), TimeUnit.MICROSECONDS);
    }

    /** One task that goes wrong must not take all other clients' answers with it. */
    private static void run(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            System.err.println("unexpected: " + e);
            e.printStackTrace();
        }
    }

    @Override
    public void close() {
        thread.shutdownNow();
    }
}
