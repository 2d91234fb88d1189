package mintstair.pcap;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * What two sides say to each other as records of a classic pcap file with raw IP: a TCP connection complete with handshake,
 * acknowledgements and checksums, so that other tools read it like a capture. Not safe for use by several threads.
 */
final class TcpConversation {
    /** Takes one record, whole. */
    interface Out {
        void record(byte[] bytes) throws IOException;
    }

    static final int SNAP = 65_535;
    private static final int MOST_PAYLOAD = 16_384;
    private static final int RECORD = 16;

    private final InetSocketAddress client;
    private final InetSocketAddress server;
    private final Out out;
    private int fromClient = 1;
    private int fromServer = 1;

    TcpConversation(InetSocketAddress client, InetSocketAddress server, Out out) {
        this.client = client;
        this.server = server;
        this.out = out;
    }

    /** The head of a file of such records. */
    static byte[] head() {
        return ByteBuffer.allocate(24)
                .putInt(ClassicPcap.MICROS)
                .putShort((short) 2)
                .putShort((short) 4)
                .putInt(0)
                .putInt(0)
                .putInt(SNAP)
                .putInt(Link.RAW)
                .array();
    }

    /** The connection is made at this time, in Unix microseconds. */
    void begin(long time) throws IOException {
        packet(time, true, Segment.SYN, 0, 0, new byte[0]);
        packet(time, false, Segment.SYN | Segment.ACK, 0, 1, new byte[0]);
        packet(time, true, Segment.ACK, 1, 1, new byte[0]);
    }

    void said(long time, boolean byClient, byte[] bytes) throws IOException {
        for (int at = 0; at < bytes.length; at += MOST_PAYLOAD) {
            byte[] part = Arrays.copyOfRange(bytes, at, Math.min(bytes.length, at + MOST_PAYLOAD));
            packet(
                    time,
                    byClient,
                    Segment.PSH | Segment.ACK,
                    byClient ? fromClient : fromServer,
                    byClient ? fromServer : fromClient,
                    part);
            lost(byClient, part.length);
        }
    }

    /** So many bytes were said and are not recorded: who reads the file finds them missing. */
    void lost(boolean byClient, int n) {
        fromClient += byClient ? n : 0;
        fromServer += byClient ? 0 : n;
    }

    void ended(long time) throws IOException {
        packet(time, true, Segment.FIN | Segment.ACK, fromClient, fromServer, new byte[0]);
        packet(time, false, Segment.FIN | Segment.ACK, fromServer, fromClient + 1, new byte[0]);
        packet(time, true, Segment.ACK, fromClient + 1, fromServer + 1, new byte[0]);
    }

    private void packet(long time, boolean byClient, int flags, int sequence, int ack, byte[] payload)
            throws IOException {
        InetSocketAddress from = byClient ? client : server;
        InetSocketAddress to = byClient ? server : client;
        byte[] source = from.getAddress().getAddress();
        byte[] target = to.getAddress().getAddress();
        boolean v4 = source.length == 4;
        int head = v4 ? 20 : 40;
        int tcp = 20 + payload.length;
        ByteBuffer p = ByteBuffer.allocate(RECORD + head + tcp);
        p.putInt((int) (time / 1_000_000))
                .putInt((int) (time % 1_000_000))
                .putInt(head + tcp)
                .putInt(head + tcp);
        if (v4) {
            p.putShort((short) 0x4500)
                    .putShort((short) (head + tcp))
                    .putInt(0x4000)
                    .put((byte) 64)
                    .put((byte) 6)
                    .putShort((short) 0)
                    .put(source)
                    .put(target);
            p.putShort(RECORD + 10, checksum(p, RECORD, 20, 0));
        } else {
            p.putInt(0x60000000)
                    .putShort((short) tcp)
                    .put((byte) 6)
                    .put((byte) 64)
                    .put(source)
                    .put(target);
        }
        int at = p.position();
        p.putShort((short) from.getPort())
                .putShort((short) to.getPort())
                .putInt(sequence)
                .putInt(ack)
                .putShort((short) (5 << 12 | flags))
                .putShort((short) 0xffff)
                .putInt(0)
                .put(payload);
        int pseudo = RECORD + head - 2 * source.length;
        p.putShort(at + 16, checksum(p, pseudo, 2 * source.length + tcp, 6 + tcp));
        out.record(p.array());
    }

    /** The Internet checksum of these bytes. */
    private static short checksum(ByteBuffer p, int from, int length, long sum) {
        for (int i = 0; i < length; i++) {
            sum += (p.get(from + i) & 255L) << (i % 2 == 0 ? 8 : 0);
        }
        while (sum > 0xffff) {
            sum = (sum & 0xffff) + (sum >> 16);
        }
        return (short) ~sum;
    }
}
