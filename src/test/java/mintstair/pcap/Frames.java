package mintstair.pcap;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Makes capture files of every format, link type and kind of IP packet, frame by frame. */
public final class Frames {
    static final byte[] CLIENT = {127, 0, 0, 1};
    static final byte[] SERVER = {127, 0, 0, 2};
    static final int PORT = 5433;

    private Frames() {}

    /** A TCP segment with its header. */
    public static byte[] tcp(boolean byClient, int clientPort, int sequence, int ack, int flags, byte[] payload) {
        ByteBuffer b = ByteBuffer.allocate(20 + payload.length);
        b.putShort((short) (byClient ? clientPort : PORT))
                .putShort((short) (byClient ? PORT : clientPort))
                .putInt(sequence)
                .putInt(ack)
                .putShort((short) (5 << 12 | flags))
                .putShort((short) 0xffff)
                .putInt(0)
                .put(payload);
        return b.array();
    }

    /** IPv4 packets that carry this, in pieces of {@code piece} bytes where that is above 0. */
    static List<byte[]> ip4(boolean byClient, int id, byte[] body, int piece) {
        List<byte[]> packets = new ArrayList<>();
        int size = piece > 0 ? piece : body.length;
        for (int at = 0; at < body.length; at += size) {
            int n = Math.min(size, body.length - at);
            boolean more = at + n < body.length;
            ByteBuffer b = ByteBuffer.allocate(20 + n);
            b.put((byte) 0x45)
                    .put((byte) 0)
                    .putShort((short) (20 + n))
                    .putShort((short) id)
                    .putShort((short) (at / 8 | (more ? 0x2000 : 0)))
                    .put((byte) 64)
                    .put((byte) 6)
                    .putShort((short) 0)
                    .put(byClient ? CLIENT : SERVER)
                    .put(byClient ? SERVER : CLIENT)
                    .put(body, at, n);
            packets.add(b.array());
        }
        return packets;
    }

    /** IPv6 packets with hop-by-hop and destination options before the segment, in pieces where {@code piece} is above 0. */
    static List<byte[]> ip6(boolean byClient, int id, byte[] body, int piece) {
        List<byte[]> packets = new ArrayList<>();
        int size = piece > 0 ? piece : body.length;
        for (int at = 0; at < body.length; at += size) {
            int n = Math.min(size, body.length - at);
            boolean pieces = piece > 0;
            ByteBuffer b = ByteBuffer.allocate(40 + 8 + 16 + (pieces ? 8 : 0) + n);
            b.putInt(0x60000000)
                    .putShort((short) (b.capacity() - 40))
                    .put((byte) 0)
                    .put((byte) 64)
                    .put(new byte[15])
                    .put((byte) (byClient ? 1 : 2))
                    .put(new byte[15])
                    .put((byte) (byClient ? 2 : 1));
            b.put((byte) 60).put((byte) 0).put(new byte[6]);
            b.put((byte) (pieces ? 44 : 6)).put((byte) 1).put(new byte[14]);
            if (pieces) {
                b.put((byte) 6)
                        .put((byte) 0)
                        .putShort((short) (at | (at + n < body.length ? 1 : 0)))
                        .putInt(id);
            }
            packets.add(b.put(body, at, n).array());
        }
        return packets;
    }

    /** The packet in a frame of this link type. */
    static byte[] frame(int link, byte[] packet, int vlans) {
        boolean four = (packet[0] >> 4 & 15) == 4;
        int type = four ? 0x0800 : 0x86dd;
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        switch (link) {
            case Link.NULL -> out.writeBytes(new byte[] {(byte) (four ? 2 : 30), 0, 0, 0});
            case Link.LOOP -> out.writeBytes(new byte[] {0, 0, 0, (byte) (four ? 2 : 30)});
            case Link.ETHERNET -> {
                out.writeBytes(new byte[12]);
                for (int i = 0; i < vlans; i++) {
                    out.writeBytes(new byte[] {
                        (byte) (i == 0 && vlans > 1 ? 0x88 : 0x81), (byte) (i == 0 && vlans > 1 ? 0xa8 : 0), 0, 7
                    });
                }
                out.writeBytes(new byte[] {(byte) (type >> 8), (byte) type});
            }
            case Link.LINUX_COOKED -> {
                out.writeBytes(new byte[14]);
                out.writeBytes(new byte[] {(byte) (type >> 8), (byte) type});
            }
            case Link.LINUX_COOKED_2 -> {
                out.writeBytes(new byte[] {(byte) (type >> 8), (byte) type});
                out.writeBytes(new byte[18]);
            }
            default -> {}
        }
        out.writeBytes(packet);
        return out.toByteArray();
    }

    /** A classic file; frames longer than {@code snap} are cut. */
    public static byte[] classic(
            ByteOrder order, boolean nanos, int link, int snap, List<byte[]> frames, long[] times) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(ByteBuffer.allocate(24)
                .order(order)
                .putInt(nanos ? ClassicPcap.NANOS : ClassicPcap.MICROS)
                .putShort((short) 2)
                .putShort((short) 4)
                .putInt(0)
                .putInt(0)
                .putInt(snap)
                .putInt(link)
                .array());
        for (int i = 0; i < frames.size(); i++) {
            int n = Math.min(snap, frames.get(i).length);
            out.writeBytes(ByteBuffer.allocate(16 + n)
                    .order(order)
                    .putInt((int) (times[i] / 1_000_000_000))
                    .putInt((int) (times[i] % 1_000_000_000 / (nanos ? 1 : 1000)))
                    .putInt(n)
                    .putInt(frames.get(i).length)
                    .put(frames.get(i), 0, n)
                    .array());
        }
        return out.toByteArray();
    }

    /** A file of the newer format: a comment block, two interfaces, the frames on the second with a clock of {@code power}. */
    public static byte[] ng(ByteOrder order, int link, int power, List<byte[]> frames, long[] times) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(block(
                order,
                PcapNg.SECTION,
                ByteBuffer.allocate(16)
                        .order(order)
                        .putInt(0x1a2b3c4d)
                        .putShort((short) 1)
                        .putShort((short) 0)
                        .putLong(-1)));
        out.writeBytes(block(order, 0x0bad, ByteBuffer.allocate(8)));
        out.writeBytes(block(order, 1, ByteBuffer.allocate(8).order(order).putShort((short) 999)));
        out.writeBytes(block(
                order,
                1,
                ByteBuffer.allocate(20)
                        .order(order)
                        .putShort((short) link)
                        .putShort((short) 0)
                        .putInt(0)
                        .putShort((short) 9)
                        .putShort((short) 1)
                        .put((byte) power)
                        .put(new byte[3])
                        .putInt(0)));
        double unit = (power & 0x80) != 0 ? 1e9 / (1L << (power & 0x7f)) : 1e9 / Math.pow(10, power);
        for (int i = 0; i < frames.size(); i++) {
            byte[] f = frames.get(i);
            long units = Math.round(times[i] / unit);
            out.writeBytes(block(
                    order,
                    6,
                    ByteBuffer.allocate(20 + (f.length + 3 & ~3))
                            .order(order)
                            .putInt(1)
                            .putInt((int) (units >> 32))
                            .putInt((int) units)
                            .putInt(f.length)
                            .putInt(f.length)
                            .put(f)));
        }
        return out.toByteArray();
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

    /** Times a millisecond apart. */
    public static long[] times(int n) {
        long[] times = new long[n];
        for (int i = 0; i < n; i++) {
            times[i] = 1_700_000_000_000_000_000L + i * 1_000_000L;
        }
        return times;
    }

    /** One direction cut into segments of some bytes. */
    static List<byte[]> segments(boolean byClient, int port, int first, byte[] said, Random dice) {
        List<byte[]> segments = new ArrayList<>();
        for (int at = 0; at < said.length; ) {
            int n = Math.min(said.length - at, 1 + dice.nextInt(120));
            byte[] part = java.util.Arrays.copyOfRange(said, at, at + n);
            segments.add(tcp(byClient, port, first + at, 0, Segment.PSH, part));
            at += n;
        }
        return segments;
    }
}
