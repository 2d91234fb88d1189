package mintstair.time;

import java.util.function.LongSupplier;

/**
 * A clock that starts at Unix time and then counts by the system's monotonic clock: setting the wall clock does not
 * move it. All spans of time are measured by it. Safe for use by several threads.
 */
public final class MonotonicClock implements LongSupplier {
    private static final long NANOS_PER_MICRO = 1_000;
    /** A longer gap between two readings of the monotonic clock means that this thread was suspended between them. */
    private static final long MAX_GAP_NANOS = 100_000;

    private static final int MAX_ATTEMPTS = 20;

    private final LongSupplier nanos;
    private final long startMicros;
    private final long startNanos;

    /** Starts now, by the system's clocks. */
    public MonotonicClock() {
        this(WallClock::micros, System::nanoTime);
    }

    /**
     * Starts now, by these clocks.
     *
     * <p>The wall clock is read between two readings of the monotonic clock. A thread that is suspended there would
     * start a clock that is late for good, so the reading with the smallest gap of some counts. The start is the
     * first reading of its pair, so that the error that is left makes the clock early.
     *
     * @param wallMicros gives Unix time in microseconds
     * @param nanos gives the nanoseconds of a clock that is never set
     */
    public MonotonicClock(LongSupplier wallMicros, LongSupplier nanos) {
        this.nanos = nanos;
        long bestGap = Long.MAX_VALUE;
        long bestNanos = 0;
        long bestMicros = 0;
        for (int i = 0; i < MAX_ATTEMPTS && bestGap > MAX_GAP_NANOS; i++) {
            long before = nanos.getAsLong();
            long wall = wallMicros.getAsLong();
            long gap = nanos.getAsLong() - before;
            if (gap < bestGap) {
                bestGap = gap;
                bestNanos = before;
                bestMicros = wall;
            }
        }
        startNanos = bestNanos;
        startMicros = bestMicros;
    }

    /** Microseconds: Unix time at the start, and what has passed since. */
    @Override
    public long getAsLong() {
        return startMicros + (nanos.getAsLong() - startNanos) / NANOS_PER_MICRO;
    }
}
