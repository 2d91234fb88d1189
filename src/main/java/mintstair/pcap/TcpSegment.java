package mintstair.pcap;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.ByteBuffer;

/**
 * One TCP segment, as in RFC 9293.
 *
 * @param timestampNanos Unix nanoseconds of the frame that completed it
 * @param acknowledgment the acknowledgment number, valid with {@link #ACK}
 * @param payload what was captured of its data
 * @param truncatedBytes how many bytes of data the capture lacks behind the payload
 */
record TcpSegment(
        long timestampNanos,
        InetSocketAddress source,
        InetSocketAddress destination,
        int sequence,
        int acknowledgment,
        int flags,
        byte[] payload,
        int truncatedBytes) {
    static final int FIN = 1;
    static final int SYN = 2;
    static final int RST = 4;
    static final int PSH = 8;
    static final int ACK = 16;

    /** Length of a header without options. */
    static final int MIN_HEADER_BYTES = 20;

    private static final int SOURCE_PORT_OFFSET = 0;
    private static final int DESTINATION_PORT_OFFSET = 2;
    private static final int SEQUENCE_OFFSET = 4;
    private static final int ACKNOWLEDGMENT_OFFSET = 8;
    private static final int DATA_OFFSET_OFFSET = 12;
    private static final int FLAGS_OFFSET = 13;
    private static final int FLAGS_MASK = 0x3f;

    boolean has(int flag) {
        return (flags & flag) != 0;
    }

    /** The sequence number of the first byte of data; a SYN takes one number before it. */
    int dataSequence() {
        return has(SYN) ? sequence + 1 : sequence;
    }

    /**
     * Parses the payload of an IP packet.
     *
     * @param length of the payload before the snapshot length cut it
     * @return the segment, or null where the data offset is out of range
     * @throws IndexOutOfBoundsException where the payload ends within the header
     */
    static TcpSegment parse(long timestampNanos, IpAddresses addresses, ByteBuffer ipPayload, int length) {
        int dataOffset = (ipPayload.get(DATA_OFFSET_OFFSET) >> 4 & 15) * Integer.BYTES;
        if (dataOffset < MIN_HEADER_BYTES || dataOffset > length) {
            return null;
        }
        int capturedBytes = Math.max(0, Math.min(length, ipPayload.limit()) - dataOffset);
        byte[] payload = new byte[capturedBytes];
        if (capturedBytes > 0) {
            ipPayload.get(dataOffset, payload);
        }
        return new TcpSegment(
                timestampNanos,
                endpoint(addresses.source(), ipPayload.getShort(SOURCE_PORT_OFFSET)),
                endpoint(addresses.destination(), ipPayload.getShort(DESTINATION_PORT_OFFSET)),
                ipPayload.getInt(SEQUENCE_OFFSET),
                ipPayload.getInt(ACKNOWLEDGMENT_OFFSET),
                ipPayload.get(FLAGS_OFFSET) & FLAGS_MASK,
                payload,
                length - dataOffset - capturedBytes);
    }

    private static InetSocketAddress endpoint(ByteBuffer address, short port) {
        try {
            return new InetSocketAddress(InetAddress.getByAddress(address.array()), Short.toUnsignedInt(port));
        } catch (UnknownHostException e) {
            throw new IllegalArgumentException("an address of " + address.capacity() + " bytes", e);
        }
    }
}
