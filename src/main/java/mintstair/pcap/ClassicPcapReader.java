package mintstair.pcap;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;

/**
 * Reads classic pcap, in either byte order, with timestamps in microseconds or nanoseconds. Source: libpcap's
 * pcap-savefile(5).
 */
final class ClassicPcapReader implements CaptureReader {
    /** Magic number of a file with timestamps in microseconds. */
    static final int MAGIC_MICROS = 0xa1b2c3d4;
    /** Magic number of a file with timestamps in nanoseconds. */
    static final int MAGIC_NANOS = 0xa1b23c4d;

    private static final int FILE_HEADER_BYTES = 24;
    private static final int LINK_TYPE_OFFSET = 20;
    /** The upper four bits of the link type hold the length of the frame check sequence. */
    private static final int LINK_TYPE_MASK = 0x0fffffff;

    private static final int RECORD_HEADER_BYTES = 16;
    private static final int SECONDS_OFFSET = 0;
    private static final int FRACTION_OFFSET = 4;
    private static final int CAPTURED_LENGTH_OFFSET = 8;
    private static final int ORIGINAL_LENGTH_OFFSET = 12;

    private final CaptureInput in;
    private final ByteOrder order;
    private final int nanosPerUnit;
    private final int linkType;

    /** Reads the rest of the file header, behind the magic number. */
    ClassicPcapReader(CaptureInput in, int magic) throws IOException {
        this.in = in;
        boolean bigEndian = magic == MAGIC_MICROS || magic == MAGIC_NANOS;
        order = bigEndian ? ByteOrder.BIG_ENDIAN : ByteOrder.LITTLE_ENDIAN;
        int nativeMagic = bigEndian ? magic : Integer.reverseBytes(magic);
        nanosPerUnit = nativeMagic == MAGIC_NANOS ? 1 : 1_000;
        linkType = readLinkType(in, order);
    }

    private static int readLinkType(CaptureInput in, ByteOrder order) throws IOException {
        try {
            byte[] header = in.readFully(FILE_HEADER_BYTES - Integer.BYTES, "its header");
            return ByteBuffer.wrap(header).order(order).getInt(LINK_TYPE_OFFSET - Integer.BYTES) & LINK_TYPE_MASK;
        } catch (MalformedCaptureException e) {
            throw new MalformedCaptureException("a pcap file that ends within its header", e);
        }
    }

    static boolean isMagic(int magic) {
        int swapped = Integer.reverseBytes(magic);
        return magic == MAGIC_MICROS || magic == MAGIC_NANOS || swapped == MAGIC_MICROS || swapped == MAGIC_NANOS;
    }

    @Override
    public CapturedFrame next() throws IOException {
        byte[] header = in.readOrEnd(RECORD_HEADER_BYTES, "a frame's header");
        if (header == null) {
            return null;
        }
        ByteBuffer record = ByteBuffer.wrap(header).order(order);
        int capturedLength = record.getInt(CAPTURED_LENGTH_OFFSET);
        if (capturedLength < 0 || capturedLength > MAX_BLOCK_BYTES) {
            throw new MalformedCaptureException("a frame of " + Integer.toUnsignedLong(capturedLength) + " bytes");
        }
        byte[] data = in.readFully(capturedLength, "a frame");
        return new CapturedFrame(
                timestampNanos(record), linkType, ByteBuffer.wrap(data), record.getInt(ORIGINAL_LENGTH_OFFSET));
    }

    private long timestampNanos(ByteBuffer record) {
        long seconds = Integer.toUnsignedLong(record.getInt(SECONDS_OFFSET));
        long fraction = Integer.toUnsignedLong(record.getInt(FRACTION_OFFSET));
        return seconds * 1_000_000_000 + fraction * nanosPerUnit;
    }

    @Override
    public void close() throws IOException {
        in.close();
    }
}
