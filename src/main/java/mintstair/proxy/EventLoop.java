package mintstair.proxy;

import java.util.concurrent.Future;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import mintstair.time.MonotonicClock;

/** The one thread on which every decision is taken and every pool and session is kept. */
public final class EventLoop implements AutoCloseable {
    private final ScheduledThreadPoolExecutor thread;
    private final LongSupplier clock;
    private final AtomicLong failures = new AtomicLong();
    private long latest;

    /** A loop on a clock that nobody can set: Unix time at its start, and what has passed since. */
    public EventLoop() {
        this(new MonotonicClock());
    }

    /** A loop on a clock that tells microseconds. */
    public EventLoop(LongSupplier clock) {
        this.clock = clock;
        thread = new ScheduledThreadPoolExecutor(1, task -> new Thread(task, "loop"));
        thread.setRemoveOnCancelPolicy(true);
        // What the network still has to say after the end is of no interest.
        thread.setRejectedExecutionHandler((task, ended) -> {});
    }

    /** Microseconds on the loop's clock, which never goes back; on any thread. */
    public synchronized long now() {
        latest = Math.max(latest, clock.getAsLong());
        return latest;
    }

    /** Runs the task behind those that are waiting; on any thread. */
    public void execute(Runnable task) {
        thread.execute(() -> run(task));
    }

    /** Runs the task at this time, or soon where it has passed; on any thread. */
    public Future<?> at(long time, Runnable task) {
        return thread.schedule(() -> run(task), Math.max(0, time - now()), TimeUnit.MICROSECONDS);
    }

    /** Runs the task again and again, so many microseconds after its last run, whatever became of that. */
    public void every(long period, Runnable task) {
        at(now() + period, () -> {
            run(task);
            every(period, task);
        });
    }

    /** How many tasks failed with what nobody expected: faults of the program. */
    public long failures() {
        return failures.get();
    }

    /** One task that goes wrong must not take all other clients' answers with it, and must not go unseen. */
    private void run(Runnable task) {
        try {
            task.run();
        } catch (Throwable e) {
            failures.incrementAndGet();
            System.err.println("unexpected: " + e);
            e.printStackTrace();
        }
    }

    @Override
    public void close() {
        thread.shutdownNow();
    }
}
