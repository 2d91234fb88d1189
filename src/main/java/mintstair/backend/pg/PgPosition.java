package mintstair.backend.pg;

import mintstair.wire.ProtocolException;

/** Replication positions as hosts write them: a decimal number, of milliseconds since 1970 where not said otherwise. */
final class PgPosition {
    /** A pattern for the numbers that hosts write. */
    static final String NUMBER = "\\d{1,14}(?:\\.\\d{1,20})?(?:[eE][-+]?\\d{1,2})?";

    /** No real position is later, and a host that claims one would seem fresh enough for any read. */
    private static final double MAX_MILLIS = 1e14;

    private static final int MICROS_PER_MILLI = 1000;

    private PgPosition() {}

    /**
     * Converts a position from milliseconds to microseconds.
     *
     * @throws ProtocolException where it is no real position
     */
    static long toMicros(double millis) {
        if (millis > MAX_MILLIS) {
            throw new ProtocolException("a position that cannot be");
        }
        return Math.round(millis * MICROS_PER_MILLI);
    }
}
