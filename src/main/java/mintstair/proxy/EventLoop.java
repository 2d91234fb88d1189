package mintstair.proxy;

import java.util.concurrent.Future;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import mintstair.log.FatalErrors;
import mintstair.time.MonotonicClock;

/**
 * The single thread that makes all routing decisions and owns all connection pools and client sessions. Its methods may
 * be called on any thread. The number of queued tasks is not limited.
 *
 * <p>A task that throws is counted and reported, and does not prevent other tasks from running, unless it ends the
 * process as {@link FatalErrors} describes. After {@link #close},
 * tasks are discarded.
 */
public final class EventLoop implements AutoCloseable {
    private static final String THREAD_NAME = "loop";

    private final ScheduledThreadPoolExecutor executor;
    private final LongSupplier clock;
    private final AtomicLong failedTasks = new AtomicLong();

    /** Guarded by {@code this}. */
    private long latestMicros;

    /** Starts a loop with a monotonic clock that reads Unix time at its start and then adds the elapsed time. */
    public EventLoop() {
        this(new MonotonicClock());
    }

    /** Starts a loop with a clock that reads microseconds. */
    public EventLoop(LongSupplier clock) {
        this.clock = clock;
        executor = new ScheduledThreadPoolExecutor(1, task -> new Thread(task, THREAD_NAME));
        executor.setRemoveOnCancelPolicy(true);
        // Network threads may still report events after the loop is closed; these events can be ignored.
        executor.setRejectedExecutionHandler((task, closed) -> {});
    }

    /** Returns the time in microseconds on the loop's clock, which never decreases. */
    public synchronized long now() {
        latestMicros = Math.max(latestMicros, clock.getAsLong());
        return latestMicros;
    }

    /** Runs the task after all tasks that were submitted before it. */
    public void execute(Runnable task) {
        executor.execute(() -> run(task));
    }

    /**
     * Runs the task when the loop's clock reaches this time, or as soon as possible if the time has passed. The timer
     * runs on another clock, so the task may run slightly early. The result can cancel the task.
     */
    public Future<?> at(long timeMicros, Runnable task) {
        long delayMicros = Math.max(0, timeMicros - now());
        return executor.schedule(() -> run(task), delayMicros, TimeUnit.MICROSECONDS);
    }

    /**
     * Runs the task repeatedly until the loop is closed, with a delay of {@code periodMicros} before each run. A run
     * that throws does not prevent later runs.
     */
    public void every(long periodMicros, Runnable task) {
        at(now() + periodMicros, () -> {
            run(task);
            every(periodMicros, task);
        });
    }

    /** Returns how many tasks threw an exception or error. Each of them indicates a fault of the program. */
    public long failedTasks() {
        return failedTasks.get();
    }

    /** Runs a task; its failure is reported but does not stop the loop, on which all clients depend, unless it is fatal. */
    private void run(Runnable task) {
        try {
            task.run();
        } catch (Throwable failure) {
            FatalErrors.exitIfFatal(failure);
            failedTasks.incrementAndGet();
            report(failure);
        }
    }

    /** Writes the line that operators search the log for, followed by the stack trace. */
    private static void report(Throwable failure) {
        System.err.println("unexpected: " + failure);
        failure.printStackTrace();
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }
}
