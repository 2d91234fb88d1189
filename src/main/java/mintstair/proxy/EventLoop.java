package mintstair.proxy;

import java.util.concurrent.Future;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import mintstair.time.MonotonicClock;

/**
 * The one thread on which all decisions are made and all pools and sessions are kept. Its methods may be called on any
 * thread. Tasks that wait are not bounded in number.
 *
 * <p>A task that throws is counted and reported, and does not keep others from being run. After {@link #close} tasks
 * are discarded.
 */
public final class EventLoop implements AutoCloseable {
    private static final String THREAD_NAME = "loop";

    private final ScheduledThreadPoolExecutor executor;
    private final LongSupplier clock;
    private final AtomicLong failures = new AtomicLong();

    /** Guarded by {@code this}. */
    private long latestMicros;

    /** Starts a loop on a monotonic clock: Unix time at its start, and the time that has passed since. */
    public EventLoop() {
        this(new MonotonicClock());
    }

    /** Starts a loop on a clock that reads microseconds. */
    public EventLoop(LongSupplier clock) {
        this.clock = clock;
        executor = new ScheduledThreadPoolExecutor(1, task -> new Thread(task, THREAD_NAME));
        executor.setRemoveOnCancelPolicy(true);
        // Network threads may still report events after the end; nothing needs them.
        executor.setRejectedExecutionHandler((task, closed) -> {});
    }

    /** The time in microseconds on the loop's clock, which never goes back. */
    public synchronized long now() {
        latestMicros = Math.max(latestMicros, clock.getAsLong());
        return latestMicros;
    }

    /** Runs the task after those that were submitted before. */
    public void execute(Runnable task) {
        executor.execute(() -> run(task));
    }

    /** Runs the task at this time of the loop's clock, or soon where it has passed; the result can cancel it. */
    public Future<?> at(long timeMicros, Runnable task) {
        long delayMicros = Math.max(0, timeMicros - now());
        return executor.schedule(() -> run(task), delayMicros, TimeUnit.MICROSECONDS);
    }

    /**
     * Runs the task for ever, each time {@code periodMicros} after the last run has ended, even where that has failed.
     */
    public void every(long periodMicros, Runnable task) {
        at(now() + periodMicros, () -> {
            run(task);
            every(periodMicros, task);
        });
    }

    /** How many tasks threw an exception or error; each is a fault of the program. */
    public long failedTasks() {
        return failures.get();
    }

    /** A failed task must neither end the loop, on which all clients depend, nor go unnoticed. */
    private void run(Runnable task) {
        try {
            task.run();
        } catch (Throwable failure) {
            failures.incrementAndGet();
            report(failure);
        }
    }

    /** Writes the line that operators search the log for, and the stack trace. */
    private static void report(Throwable failure) {
        System.err.println("unexpected: " + failure);
        failure.printStackTrace();
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }
}
