package mintstair.registry.view;

import java.util.function.Consumer;

/**
 * Limits the rate of log lines of one kind. A burst of lines is logged at once; further lines are suppressed, and one
 * line per second reports how many. After a second without a suppressed line a full burst is allowed again. Not
 * thread-safe.
 */
final class LogRateLimiter {
    private static final int BURST = 5;
    private static final long INTERVAL_MICROS = 1_000_000;
    private static final long NEVER = Long.MAX_VALUE;

    private int remainingBurst = BURST;
    private long intervalEndsAt;
    private long suppressed;

    /** Logs the line, or counts it as suppressed if the burst is used up. */
    void log(long nowMicros, String line, Consumer<ViewUpdate> updates) {
        flush(nowMicros, updates);
        if (remainingBurst == 0) {
            suppressed++;
            return;
        }
        remainingBurst--;
        intervalEndsAt = Math.max(intervalEndsAt, nowMicros + INTERVAL_MICROS);
        updates.accept(new ViewUpdate.LogLine(line));
    }

    /** If an interval has ended, logs the number of suppressed lines, or allows the next burst if there are none. */
    void flush(long nowMicros, Consumer<ViewUpdate> updates) {
        if (nowMicros < intervalEndsAt) {
            return;
        }
        if (suppressed == 0) {
            remainingBurst = BURST;
            return;
        }
        updates.accept(new ViewUpdate.LogLine("registry: " + suppressed + " similar lines were suppressed"));
        suppressed = 0;
        intervalEndsAt = nowMicros + INTERVAL_MICROS;
    }

    /** Returns when {@link #flush} next has a line to log, or {@link Long#MAX_VALUE} for never. */
    long nextFlushAt() {
        return suppressed > 0 ? intervalEndsAt : NEVER;
    }
}
