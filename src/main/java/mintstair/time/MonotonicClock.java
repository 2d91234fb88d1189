package mintstair.time;

import java.util.function.LongSupplier;

/**
 * A clock that starts at Unix time and then counts what really passes: setting the wall clock moves nothing. All spans are measured by
 * it. Safe for use by several threads.
 */
public final class MonotonicClock implements LongSupplier {
    private static final long NANOS_PER_MICRO = 1_000;
    /** Between two readings of the steady clock around one of the wall clock; more means that this thread was held up there. */
    private static final long CLOSE_NANOS = 100_000;

    private static final int TRIES = 20;

    private final LongSupplier nanos;
    private final long startMicros;
    private final long startNanos;

    /** Starts now, by the system's clocks. */
    public MonotonicClock() {
        this(WallClock::micros, System::nanoTime);
    }

    /**
     * Starts now, by these clocks. A thread that is held up between both readings would start a clock that is late for good; so the
     * closest pair of some counts, and the steady clock is the one that is read first, by which what is left of it is early.
     *
     * @param wallMicros tells Unix microseconds
     * @param nanos tells nanoseconds of a clock that is never set
     */
    public MonotonicClock(LongSupplier wallMicros, LongSupplier nanos) {
        this.nanos = nanos;
        long bestGap = Long.MAX_VALUE;
        long bestNanos = 0;
        long bestMicros = 0;
        for (int i = 0; i < TRIES && bestGap > CLOSE_NANOS; i++) {
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
