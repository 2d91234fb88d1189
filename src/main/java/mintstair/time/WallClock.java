package mintstair.time;

import java.time.Instant;

/**
 * Reads the wall clock of this machine; no other code does. The wall clock can be set forward or back at any time, so
 * it is used only for timestamps that other machines or people read. Durations are measured with
 * {@link MonotonicClock} instead. Thread-safe.
 */
public final class WallClock {
    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final long NANOS_PER_MICRO = 1_000;
    private static final long MICROS_PER_MILLI = 1_000;

    private WallClock() {}

    /** Returns Unix time in microseconds. */
    public static long micros() {
        Instant now = Instant.now();
        return now.getEpochSecond() * MICROS_PER_SECOND + now.getNano() / NANOS_PER_MICRO;
    }

    /** Returns Unix time in milliseconds. */
    public static long millis() {
        return micros() / MICROS_PER_MILLI;
    }
}
