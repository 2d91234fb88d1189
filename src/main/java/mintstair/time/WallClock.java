package mintstair.time;

import java.time.Instant;

/**
 * The only reader of this machine's wall clock, which somebody may set at any moment, forward or back. It serves what crosses machines and
 * what people read; no span of time is the difference of two of its readings. Safe for use by several threads.
 */
public final class WallClock {
    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final long NANOS_PER_MICRO = 1_000;
    private static final long MICROS_PER_MILLI = 1_000;

    private WallClock() {}

    /** Unix microseconds. */
    public static long micros() {
        Instant now = Instant.now();
        return now.getEpochSecond() * MICROS_PER_SECOND + now.getNano() / NANOS_PER_MICRO;
    }

    /** Unix milliseconds. */
    public static long millis() {
        return micros() / MICROS_PER_MILLI;
    }
}
