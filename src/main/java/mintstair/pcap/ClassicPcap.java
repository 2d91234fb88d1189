package mintstair.pcap;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;

/** The classic format, of either byte order, with times to the microsecond or the nanosecond. Source: libpcap's pcap-savefile. */
final class ClassicPcap extends Capture {
    static final int MICROS = 0xa1b2c3d4;
    static final int NANOS = 0xa1b23c4d;
    private static final int HEAD = 16;
    private final ByteOrder order;
    private final boolean nanos;
    private final int linkType;

    /** Reads on behind the first four bytes, which are given. */
    ClassicPcap(InputStream in, int magic) throws IOException {
        super(in);
        boolean big = magic == MICROS || magic == NANOS;
        order = big ? ByteOrder.BIG_ENDIAN : ByteOrder.LITTLE_ENDIAN;
        nanos = (big ? magic : Integer.reverseBytes(magic)) == NANOS;
        byte[] head = in.readNBytes(20);
        if (head.length < 20) {
            in.close();
            throw new IOException("a pcap file that ends within its header");
        }
        linkType = ByteBuffer.wrap(head).order(order).getInt(16) & 0x0fffffff;
    }

    static boolean isMagic(int magic) {
        int swapped = Integer.reverseBytes(magic);
        return magic == MICROS || magic == NANOS || swapped == MICROS || swapped == NANOS;
    }

    @Override
    public Frame next() throws IOException {
        byte[] head = damage == null ? bytes(HEAD, null) : null;
        if (head == null) {
            return null;
        }
        ByteBuffer record = ByteBuffer.wrap(head).order(order);
        int captured = record.getInt(8);
        if (captured < 0 || captured > LONGEST) {
            damage = "a frame of " + (captured & 0xffffffffL) + " bytes";
            return null;
        }
        byte[] data = bytes(captured, "a frame");
        if (data == null) {
            return null;
        }
        long fraction = record.getInt(4) & 0xffffffffL;
        return new Frame(
                (record.getInt(0) & 0xffffffffL) * 1_000_000_000 + (nanos ? fraction : fraction * 1000),
                linkType,
                ByteBuffer.wrap(data),
                record.getInt(12));
    }
}
