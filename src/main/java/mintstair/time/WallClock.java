package mintstair.time;

import java.time.Instant;

/**
 * The only reader of this machine's wall clock, which may be set at any moment, forward or back. It is for what other
 * machines and people read; no span of time is the difference of two of its readings. Safe for use by several
 * threads.
 */
public final class WallClock {
    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final long NANOS_PER_MICRO = 1_000;
    private static final long MICROS_PER_MILLI = 1_000;

    private WallClock() {}

    /** Unix time in microseconds. */
    public static long micros() {
        Instant now = Instant.now();
        return now.getEpochSecond() * MICROS_PER_SECOND + now.getNano() / NANOS_PER_MICRO;
    }

    /** Unix time in milliseconds. */
    public static long millis() {
        return micros() / MICROS_PER_MILLI;
    }
}
