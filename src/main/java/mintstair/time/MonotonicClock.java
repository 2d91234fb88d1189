package mintstair.time;

import java.util.function.LongSupplier;

/**
 * A clock that starts at the current Unix time and then advances with the system's monotonic clock, so that it is not
 * affected when the wall clock is set. All durations are measured with it. Thread-safe.
 */
public final class MonotonicClock implements LongSupplier {
    private static final long NANOS_PER_MICRO = 1_000;
    /** A larger gap between two consecutive readings indicates that the thread was suspended between them. */
    private static final long MAX_GAP_NANOS = 100_000;

    private static final int MAX_READINGS = 20;

    private final LongSupplier nanos;
    private final long startMicros;
    private final long startNanos;

    /** Creates a clock that starts now and uses the system's clocks. */
    public MonotonicClock() {
        this(WallClock::micros, System::nanoTime);
    }

    /**
     * Creates a clock that starts now and uses the given clocks.
     *
     * <p>The wall clock is read between two readings of the monotonic clock. If the thread were suspended in between,
     * the clock would have that error for its whole lifetime. Therefore the readings are repeated until the gap between
     * the two is small enough, up to a maximum number of times, and those with the smallest gap are used. The clock
     * starts at the first of the two, so that the remaining error puts it ahead of Unix time, never behind.
     *
     * @param wallMicros returns Unix time in microseconds
     * @param nanos returns the time of a monotonic clock in nanoseconds
     */
    public MonotonicClock(LongSupplier wallMicros, LongSupplier nanos) {
        this.nanos = nanos;
        long bestGap = Long.MAX_VALUE;
        long bestNanos = 0;
        long bestMicros = 0;
        for (int i = 0; i < MAX_READINGS && bestGap > MAX_GAP_NANOS; i++) {
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

    /** Returns Unix time at the start of this clock plus the time elapsed since then, in microseconds. */
    @Override
    public long getAsLong() {
        return startMicros + (nanos.getAsLong() - startNanos) / NANOS_PER_MICRO;
    }
}
