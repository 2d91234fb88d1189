package mintstair.pcap;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.ByteBuffer;

/** One TCP segment; {@code missing} counts payload bytes that the capture left out at its end. */
record Segment(
        long nanos,
        InetSocketAddress from,
        InetSocketAddress to,
        int sequence,
        int ack,
        int flags,
        byte[] payload,
        int missing) {
    static final int FIN = 1;
    static final int SYN = 2;
    static final int RST = 4;
    static final int PSH = 8;
    static final int ACK = 16;

    boolean has(int flag) {
        return (flags & flag) != 0;
    }

    /**
     * The segment in an IP packet's payload of {@code length} bytes, of which {@code d} may hold fewer; null where it is none,
     * {@link IndexOutOfBoundsException} where it was cut within its header.
     */
    static Segment parse(long nanos, byte[] source, byte[] target, ByteBuffer d, int length) {
        int start = (d.get(12) >> 4 & 15) * 4;
        if (start < 20 || start > length) {
            return null;
        }
        int there = Math.max(0, Math.min(length, d.limit()) - start);
        byte[] payload = new byte[there];
        if (there > 0) {
            d.get(start, payload);
        }
        try {
            return new Segment(
                    nanos,
                    new InetSocketAddress(InetAddress.getByAddress(source), d.getShort(0) & 0xffff),
                    new InetSocketAddress(InetAddress.getByAddress(target), d.getShort(2) & 0xffff),
                    d.getInt(4),
                    d.getInt(8),
                    d.get(13) & 63,
                    payload,
                    length - start - there);
        } catch (UnknownHostException e) {
            throw new IllegalArgumentException(e);
        }
    }
}
