package mintstair.proxy;

import java.time.Instant;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/** The one thread on which every decision is taken and every pool and session is kept. */
public final class Loop implements AutoCloseable {
    private final ScheduledThreadPoolExecutor thread;
    private long latest;

    public Loop() {
        thread = new ScheduledThreadPoolExecutor(1, task -> new Thread(task, "loop"));
        thread.setRemoveOnCancelPolicy(true);
    }

    /** Unix microseconds; a system clock that is set back stands still here. */
    public synchronized long now() {
        Instant t = Instant.now();
        latest = Math.max(latest, t.getEpochSecond() * 1_000_000 + t.getNano() / 1000);
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
