package mintstair.registry.view;

import java.util.function.Consumer;

/**
 * Limits the rate of log lines of one kind: a burst of lines at once, then one a second, which gives the number of
 * those that were suppressed. Not thread-safe.
 */
final class LogRateLimiter {
    private static final int BURST = 5;
    private static final long INTERVAL_MICROS = 1_000_000;
    private static final long NEVER = Long.MAX_VALUE;

    private int remainingBurst = BURST;
    private long intervalEndsAt;
    private long suppressed;

    /** Logs the line, or counts it as suppressed. */
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

    /** Logs the number of suppressed lines, or allows the next burst, where an interval is over. */
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

    /** When {@link #flush} has a line to log next. */
    long nextFlushAt() {
        return suppressed > 0 ? intervalEndsAt : NEVER;
    }
}
