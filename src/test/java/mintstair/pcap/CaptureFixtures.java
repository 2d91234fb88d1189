package mintstair.pcap;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;

/**
 * Makes capture files of every format, link type and kind of IP packet, frame by frame, for one client and one
 * server.
 */
final class CaptureFixtures {
    static final int SERVER_PORT = 5433;
    static final int CLIENT_PORT = 40_000;
    /** Long enough for frames of these tests. */
    static final int NO_SNAPSHOT_LIMIT = 65_535;

    static final byte[] REQUEST =
            "the quick brown fox asks for a page of the list, and for another one".getBytes(StandardCharsets.US_ASCII);
    static final byte[] RESPONSE = "and is given what there is of it".getBytes(StandardCharsets.US_ASCII);

    private static final byte[] CLIENT_ADDRESS = {127, 0, 0, 1};
    private static final byte[] SERVER_ADDRESS = {127, 0, 0, 2};
    private static final byte[] NO_PAYLOAD = new byte[0];
    private static final int MAX_SEGMENT_BYTES = 120;
    private static final long FIRST_TIMESTAMP_NANOS = 1_700_000_000_000_000_000L;
    private static final long FRAME_INTERVAL_NANOS = 1_000_000;

    private CaptureFixtures() {}

    /** A TCP segment with its header. */
    static byte[] tcpSegment(
            boolean fromClient, int clientPort, int sequence, int acknowledgment, int flags, byte[] payload) {
        return ByteBuffer.allocate(20 + payload.length)
                .putShort((short) (fromClient ? clientPort : SERVER_PORT))
                .putShort((short) (fromClient ? SERVER_PORT : clientPort))
                .putInt(sequence)
                .putInt(acknowledgment)
                .putShort((short) (5 << 12 | flags))
                .putShort((short) 0xffff)
                .putInt(0)
                .put(payload)
                .array();
    }

    /** A segment of the client. */
    static byte[] clientSegment(int sequence, int flags, byte[] payload) {
        return tcpSegment(true, CLIENT_PORT, sequence, 0, flags, payload);
    }

    /** A segment of the client with data. */
    static byte[] clientData(int sequence, String payload) {
        return clientSegment(sequence, 0, payload.getBytes(StandardCharsets.US_ASCII));
    }

    /** The SYN of the client, after which its data begins with {@code sequence + 1}. */
    static byte[] clientSyn(int sequence) {
        return clientSegment(sequence, TcpSegment.SYN, NO_PAYLOAD);
    }

    /** The SYN of the server. */
    static byte[] serverSyn(int sequence) {
        return tcpSegment(false, CLIENT_PORT, sequence, 0, TcpSegment.SYN, NO_PAYLOAD);
    }

    /** A segment of the server with data that acknowledges what the client sent. */
    static byte[] serverData(int sequence, int acknowledgment, String payload) {
        byte[] bytes = payload.getBytes(StandardCharsets.US_ASCII);
        return tcpSegment(false, CLIENT_PORT, sequence, acknowledgment, TcpSegment.ACK, bytes);
    }

    static boolean isFromClient(byte[] segment) {
        return Short.toUnsignedInt(ByteBuffer.wrap(segment).getShort(2)) == SERVER_PORT;
    }

    /** One direction cut into segments of random length. */
    static List<byte[]> randomSegments(boolean fromClient, int firstSequence, byte[] bytes, Random random) {
        List<byte[]> segments = new ArrayList<>();
        int from = 0;
        while (from < bytes.length) {
            int length = Math.min(bytes.length - from, 1 + random.nextInt(MAX_SEGMENT_BYTES));
            byte[] payload = Arrays.copyOfRange(bytes, from, from + length);
            segments.add(tcpSegment(fromClient, CLIENT_PORT, firstSequence + from, 0, TcpSegment.PSH, payload));
            from += length;
        }
        return segments;
    }

    /** A connection on which {@link #REQUEST} and {@link #RESPONSE} are sent, in random segments. */
    static List<byte[]> requestAndResponse(Random random) {
        List<byte[]> segments = new ArrayList<>();
        segments.add(clientSyn(99));
        segments.add(serverSyn(499));
        segments.addAll(randomSegments(true, 100, REQUEST, random));
        segments.addAll(randomSegments(false, 500, RESPONSE, random));
        return segments;
    }

    /** Unfragmented IPv4 packets, one for each segment. */
    static List<byte[]> ipv4Packets(List<byte[]> segments) {
        List<byte[]> packets = new ArrayList<>();
        for (int id = 0; id < segments.size(); id++) {
            byte[] segment = segments.get(id);
            packets.addAll(ipv4Packets(isFromClient(segment), id, segment, 0));
        }
        return packets;
    }

    /** IPv4 packets that carry a segment, in fragments of {@code fragmentBytes} where that is above 0. */
    static List<byte[]> ipv4Packets(boolean fromClient, int identification, byte[] segment, int fragmentBytes) {
        List<byte[]> packets = new ArrayList<>();
        int size = fragmentBytes > 0 ? fragmentBytes : segment.length;
        for (int from = 0; from < segment.length; from += size) {
            int length = Math.min(size, segment.length - from);
            int moreFragments = from + length < segment.length ? 0x2000 : 0;
            byte[] packet = ByteBuffer.allocate(20 + length)
                    .putShort((short) 0x4500)
                    .putShort((short) (20 + length))
                    .putShort((short) identification)
                    .putShort((short) (from / 8 | moreFragments))
                    .put((byte) 64)
                    .put((byte) 6)
                    .putShort((short) 0)
                    .put(fromClient ? CLIENT_ADDRESS : SERVER_ADDRESS)
                    .put(fromClient ? SERVER_ADDRESS : CLIENT_ADDRESS)
                    .put(segment, from, length)
                    .array();
            packets.add(packet);
        }
        return packets;
    }

    /**
     * IPv6 packets with hop-by-hop and destination options before the segment, in fragments where {@code
     * fragmentBytes} is above 0.
     */
    static List<byte[]> ipv6Packets(boolean fromClient, int identification, byte[] segment, int fragmentBytes) {
        List<byte[]> packets = new ArrayList<>();
        boolean fragmented = fragmentBytes > 0;
        int size = fragmented ? fragmentBytes : segment.length;
        for (int from = 0; from < segment.length; from += size) {
            int length = Math.min(size, segment.length - from);
            ByteBuffer packet = ByteBuffer.allocate(40 + 8 + 16 + (fragmented ? 8 : 0) + length);
            packet.putInt(0x60000000)
                    .putShort((short) (packet.capacity() - 40))
                    .put((byte) 0)
                    .put((byte) 64)
                    .put(new byte[15])
                    .put((byte) (fromClient ? 1 : 2))
                    .put(new byte[15])
                    .put((byte) (fromClient ? 2 : 1));
            packet.put((byte) 60).put((byte) 0).put(new byte[6]);
            packet.put((byte) (fragmented ? 44 : 6)).put((byte) 1).put(new byte[14]);
            if (fragmented) {
                int moreFragments = from + length < segment.length ? 1 : 0;
                packet.put((byte) 6)
                        .put((byte) 0)
                        .putShort((short) (from | moreFragments))
                        .putInt(identification);
            }
            packets.add(packet.put(segment, from, length).array());
        }
        return packets;
    }

    /** The packet in a frame of this link type; {@code vlanTags} are set where it is Ethernet. */
    static byte[] frame(int linkType, byte[] packet, int vlanTags) {
        boolean version4 = (packet[0] >> 4 & 15) == 4;
        int etherType = version4 ? 0x0800 : 0x86dd;
        int addressFamily = version4 ? 2 : 30;
        ByteArrayOutputStream frame = new ByteArrayOutputStream();
        switch (linkType) {
            case LinkLayer.NULL -> frame.writeBytes(new byte[] {(byte) addressFamily, 0, 0, 0});
            case LinkLayer.LOOP -> frame.writeBytes(new byte[] {0, 0, 0, (byte) addressFamily});
            case LinkLayer.ETHERNET -> {
                frame.writeBytes(new byte[12]);
                for (int tag = 0; tag < vlanTags; tag++) {
                    boolean outer = tag == 0 && vlanTags > 1;
                    frame.writeBytes(shortBytes(outer ? 0x88a8 : 0x8100));
                    frame.writeBytes(shortBytes(7));
                }
                frame.writeBytes(shortBytes(etherType));
            }
            case LinkLayer.LINUX_SLL -> {
                frame.writeBytes(new byte[14]);
                frame.writeBytes(shortBytes(etherType));
            }
            case LinkLayer.LINUX_SLL2 -> {
                frame.writeBytes(shortBytes(etherType));
                frame.writeBytes(new byte[18]);
            }
            default -> {
                // Raw IP has no header.
            }
        }
        frame.writeBytes(packet);
        return frame.toByteArray();
    }

    private static byte[] shortBytes(int value) {
        return ByteBuffer.allocate(Short.BYTES).putShort((short) value).array();
    }

    /** A classic file; frames longer than {@code snapshotLength} are cut. */
    static byte[] classicPcap(
            ByteOrder order, boolean nanos, int linkType, int snapshotLength, List<byte[]> frames, long[] timesNanos) {
        ByteArrayOutputStream file = new ByteArrayOutputStream();
        file.writeBytes(ByteBuffer.allocate(24)
                .order(order)
                .putInt(nanos ? ClassicPcapReader.MAGIC_NANOS : ClassicPcapReader.MAGIC_MICROS)
                .putShort((short) 2)
                .putShort((short) 4)
                .putInt(0)
                .putInt(0)
                .putInt(snapshotLength)
                .putInt(linkType)
                .array());
        for (int i = 0; i < frames.size(); i++) {
            byte[] frame = frames.get(i);
            int capturedLength = Math.min(snapshotLength, frame.length);
            file.writeBytes(ByteBuffer.allocate(16 + capturedLength)
                    .order(order)
                    .putInt((int) (timesNanos[i] / 1_000_000_000))
                    .putInt((int) (timesNanos[i] % 1_000_000_000 / (nanos ? 1 : 1000)))
                    .putInt(capturedLength)
                    .putInt(frame.length)
                    .put(frame, 0, capturedLength)
                    .array());
        }
        return file.toByteArray();
    }

    /** A classic file of raw IP packets, little-endian and in microseconds. */
    static byte[] rawIpPcap(List<byte[]> packets) {
        return classicPcap(
                ByteOrder.LITTLE_ENDIAN, false, LinkLayer.RAW, NO_SNAPSHOT_LIMIT, packets, timestamps(packets.size()));
    }

    /**
     * A pcapng file: a block of another type, two interfaces, the frames on the second.
     *
     * @param resolution of the second interface's timestamps, as its option encodes it
     */
    static byte[] pcapNg(ByteOrder order, int linkType, int resolution, List<byte[]> frames, long[] timesNanos) {
        ByteArrayOutputStream file = new ByteArrayOutputStream();
        ByteBuffer section = ByteBuffer.allocate(16).order(order);
        section.putInt(0x1a2b3c4d).putShort((short) 1).putShort((short) 0).putLong(-1);
        file.writeBytes(block(order, PcapNgReader.SECTION_HEADER, section));
        file.writeBytes(block(order, 0x0bad, ByteBuffer.allocate(8)));
        file.writeBytes(block(order, 1, ByteBuffer.allocate(8).order(order).putShort((short) 999)));
        ByteBuffer second = ByteBuffer.allocate(20).order(order);
        second.putShort((short) linkType).putShort((short) 0).putInt(0);
        second.putShort((short) 9)
                .putShort((short) 1)
                .put((byte) resolution)
                .put(new byte[3])
                .putInt(0);
        file.writeBytes(block(order, 1, second));
        double unitNanos =
                (resolution & 0x80) != 0 ? 1e9 / (1L << (resolution & 0x7f)) : 1e9 / Math.pow(10, resolution);
        for (int i = 0; i < frames.size(); i++) {
            byte[] frame = frames.get(i);
            long units = Math.round(timesNanos[i] / unitNanos);
            ByteBuffer packet =
                    ByteBuffer.allocate(20 + (frame.length + 3 & ~3)).order(order);
            packet.putInt(1).putInt((int) (units >> 32)).putInt((int) units);
            packet.putInt(frame.length).putInt(frame.length).put(frame);
            file.writeBytes(block(order, 6, packet));
        }
        return file.toByteArray();
    }

    private static byte[] block(ByteOrder order, int type, ByteBuffer body) {
        int length = 12 + body.capacity();
        return ByteBuffer.allocate(length)
                .order(order)
                .putInt(type)
                .putInt(length)
                .put(body.array())
                .putInt(length)
                .array();
    }

    /** Timestamps a millisecond apart. */
    static long[] timestamps(int count) {
        long[] timesNanos = new long[count];
        for (int i = 0; i < count; i++) {
            timesNanos[i] = FIRST_TIMESTAMP_NANOS + i * FRAME_INTERVAL_NANOS;
        }
        return timesNanos;
    }
}
