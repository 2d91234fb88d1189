package mintstair.backend.pg;

import java.math.BigDecimal;
import java.math.RoundingMode;
import mintstair.wire.ProtocolException;

/**
 * Converts replication positions, which hosts send as decimal numbers of Unix time, to microseconds. A position that a
 * host has applied is rounded down, and the commit of a write is rounded up, so that neither promises more than the
 * host has.
 */
final class PgPosition {
    /** The units in which hosts send positions. */
    enum Unit {
        SECONDS(6),
        MILLISECONDS(3);

        /** The power of ten of the microseconds in one unit. */
        private final int microsExponent;

        Unit(int microsExponent) {
            this.microsExponent = microsExponent;
        }
    }

    /** The regular expression of the numbers that hosts send. */
    static final String NUMBER_PATTERN = "\\d{1,14}(?:\\.\\d{1,20})?(?:[eE][-+]?\\d{1,2})?";

    /** The latest plausible position; a host that claims a later one would appear fresh enough for any read. */
    private static final BigDecimal MAX_MICROS = BigDecimal.valueOf(100_000_000_000_000_000L);

    /** The length of whole milliseconds that are always plausible; they need no decimal arithmetic. */
    private static final int MAX_SHORT_LENGTH = 14;

    private static final long MICROS_PER_MILLI = 1_000;

    private PgPosition() {}

    /**
     * Converts a position that a host has applied; rounds down.
     *
     * @param number matches {@link #NUMBER_PATTERN}
     * @throws ProtocolException if the position is implausibly late
     */
    static long appliedMicros(String number, Unit unit) {
        return toMicros(number, unit, RoundingMode.FLOOR);
    }

    /**
     * Converts the commit of a write; rounds up.
     *
     * @param number matches {@link #NUMBER_PATTERN}
     * @throws ProtocolException if the position is implausibly late
     */
    static long commitMicros(String number, Unit unit) {
        return toMicros(number, unit, RoundingMode.CEILING);
    }

    private static long toMicros(String number, Unit unit, RoundingMode rounding) {
        if (number.length() <= MAX_SHORT_LENGTH && isWhole(number) && unit == Unit.MILLISECONDS) {
            return Long.parseLong(number) * MICROS_PER_MILLI;
        }
        BigDecimal micros = new BigDecimal(number).scaleByPowerOfTen(unit.microsExponent);
        if (micros.compareTo(MAX_MICROS) > 0) {
            throw new ProtocolException("replication position out of range: " + number);
        }
        return micros.setScale(0, rounding).longValueExact();
    }

    private static boolean isWhole(String number) {
        return number.indexOf('.') < 0 && number.indexOf('e') < 0 && number.indexOf('E') < 0;
    }
}
