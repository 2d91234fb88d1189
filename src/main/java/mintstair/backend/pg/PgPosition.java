package mintstair.backend.pg;

import mintstair.wire.ProtocolException;

/** Converts replication positions, which hosts send as decimal numbers: milliseconds since 1970 unless noted. */
final class PgPosition {
    /** The regular expression of the numbers that hosts send. */
    static final String NUMBER_PATTERN = "\\d{1,14}(?:\\.\\d{1,20})?(?:[eE][-+]?\\d{1,2})?";

    /** The latest plausible position; a host that claims a later one would appear fresh enough for any read. */
    private static final double MAX_MILLIS = 1e14;

    private static final int MICROS_PER_MILLI = 1000;

    private PgPosition() {}

    /**
     * Converts a position from milliseconds to microseconds.
     *
     * @throws ProtocolException if the position is implausibly late
     */
    static long toMicros(double millis) {
        if (millis > MAX_MILLIS) {
            throw new ProtocolException("replication position out of range: " + millis + " ms");
        }
        return Math.round(millis * MICROS_PER_MILLI);
    }
}
