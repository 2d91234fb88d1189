package mintstair.pcap;

import java.nio.ByteBuffer;

/**
 * An interface description of a pcapng section.
 *
 * @param linkType the link-layer header type of its frames
 * @param snapshotLength most bytes captured of a frame, 0 for no limit
 * @param unitsPerSecond resolution of its timestamps
 * @param offsetSeconds added to each timestamp
 */
record PcapNgInterface(int linkType, int snapshotLength, long unitsPerSecond, long offsetSeconds) {
    private static final int OPTIONS_OFFSET = 8;
    private static final int OPTION_HEADER_BYTES = 4;
    private static final int OPTION_END = 0;
    private static final int OPTION_TIMESTAMP_RESOLUTION = 9;
    private static final int OPTION_TIMESTAMP_OFFSET = 14;
    private static final long DEFAULT_UNITS_PER_SECOND = 1_000_000;
    private static final int MAX_BINARY_EXPONENT = 62;
    private static final int MAX_DECIMAL_EXPONENT = 18;

    /**
     * Reads the body of an interface description block.
     *
     * @throws IndexOutOfBoundsException where the body ends within a field
     * @throws IllegalArgumentException where the timestamp resolution is out of range
     */
    static PcapNgInterface parse(ByteBuffer body) {
        long unitsPerSecond = DEFAULT_UNITS_PER_SECOND;
        long offsetSeconds = 0;
        int position = OPTIONS_OFFSET;
        while (position + OPTION_HEADER_BYTES <= body.limit()) {
            int code = Short.toUnsignedInt(body.getShort(position));
            int length = Short.toUnsignedInt(body.getShort(position + 2));
            int value = position + OPTION_HEADER_BYTES;
            if (code == OPTION_END) {
                break;
            }
            if (code == OPTION_TIMESTAMP_RESOLUTION && length == Byte.BYTES) {
                unitsPerSecond = unitsPerSecond(body.get(value));
            } else if (code == OPTION_TIMESTAMP_OFFSET && length == Long.BYTES) {
                offsetSeconds = body.getLong(value);
            }
            position = value + paddedToFour(length);
        }
        return new PcapNgInterface(
                Short.toUnsignedInt(body.getShort(0)), body.getInt(4), unitsPerSecond, offsetSeconds);
    }

    private static int paddedToFour(int length) {
        return length + 3 & ~3;
    }

    /** The highest bit chooses powers of two in place of powers of ten; the others are the exponent. */
    private static long unitsPerSecond(byte resolution) {
        int exponent = resolution & 0x7f;
        boolean binary = (resolution & 0x80) != 0;
        if (exponent > (binary ? MAX_BINARY_EXPONENT : MAX_DECIMAL_EXPONENT)) {
            throw new IllegalArgumentException("timestamp resolution out of range: " + resolution);
        }
        return binary ? 1L << exponent : (long) Math.pow(10, exponent);
    }

    /** A timestamp of this interface as Unix nanoseconds. */
    long toUnixNanos(long units) {
        long seconds = Long.divideUnsigned(units, unitsPerSecond);
        long rest = Long.remainderUnsigned(units, unitsPerSecond);
        return (seconds + offsetSeconds) * 1_000_000_000 + (long) (rest * (1e9 / unitsPerSecond));
    }
}
