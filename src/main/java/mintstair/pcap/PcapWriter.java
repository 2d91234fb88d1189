package mintstair.pcap;

import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;

/**
 * Writes what clients and the proxy say to each other as TCP connections in a classic pcap file, complete with
 * handshakes, acknowledgements and checksums, so that other tools read it like a capture. Not for several threads.
 */
public final class PcapWriter implements AutoCloseable {
    private static final int SNAP = 65_535;
    private static final int MOST_PAYLOAD = 16_384;

    private final OutputStream out;
    private long left;

    /** {@code most}: the file stops growing before this many bytes. */
    public PcapWriter(Path file, long most) throws IOException {
        out = new BufferedOutputStream(Files.newOutputStream(file), 32 * 1024);
        left = most;
        write(ByteBuffer.allocate(24).putInt(ClassicPcap.MICROS).putShort((short) 2).putShort((short) 4).putInt(0)
            .putInt(0).putInt(SNAP).putInt(Link.RAW));
    }

    /** One connection in the file. */
    public final class Conversation {
        private final InetSocketAddress client;
        private final InetSocketAddress proxy;
        private int fromClient = 1;
        private int fromProxy = 1;

        /** Begins a connection that a client made at this time, in Unix microseconds. */
        public Conversation(long time, InetSocketAddress client, InetSocketAddress proxy) throws IOException {
            this.client = client;
            this.proxy = proxy;
            packet(time, true, Segment.SYN, 0, 0, new byte[0]);
            packet(time, false, Segment.SYN | Segment.ACK, 0, 1, new byte[0]);
            packet(time, true, Segment.ACK, 1, 1, new byte[0]);
        }

        public void said(long time, boolean byClient, byte[] bytes) throws IOException {
            for (int at = 0; at < bytes.length; at += MOST_PAYLOAD) {
                byte[] part = Arrays.copyOfRange(bytes, at, Math.min(bytes.length, at + MOST_PAYLOAD));
                packet(time, byClient, Segment.PSH | Segment.ACK, byClient ? fromClient : fromProxy,
                    byClient ? fromProxy : fromClient, part);
                fromClient += byClient ? part.length : 0;
                fromProxy += byClient ? 0 : part.length;
            }
        }

        public void ended(long time) throws IOException {
            packet(time, true, Segment.FIN | Segment.ACK, fromClient, fromProxy, new byte[0]);
            packet(time, false, Segment.FIN | Segment.ACK, fromProxy, fromClient + 1, new byte[0]);
            packet(time, true, Segment.ACK, fromClient + 1, fromProxy + 1, new byte[0]);
        }

        private void packet(long time, boolean byClient, int flags, int sequence, int ack, byte[] payload)
                throws IOException {
            InetSocketAddress from = byClient ? client : proxy;
            InetSocketAddress to = byClient ? proxy : client;
            byte[] source = from.getAddress().getAddress();
            byte[] target = to.getAddress().getAddress();
            boolean v4 = source.length == 4;
            int head = v4 ? 20 : 40;
            int tcp = 20 + payload.length;
            ByteBuffer p = ByteBuffer.allocate(16 + head + tcp);
            p.putInt((int) (time / 1_000_000)).putInt((int) (time % 1_000_000)).putInt(head + tcp).putInt(head + tcp);
            if (v4) {
                p.putShort((short) 0x4500).putShort((short) (head + tcp)).putInt(0x4000).put((byte) 64).put((byte) 6)
                    .putShort((short) 0).put(source).put(target);
                p.putShort(16 + 10, checksum(p, 16, 20, 0));
            } else {
                p.putInt(0x60000000).putShort((short) tcp).put((byte) 6).put((byte) 64).put(source).put(target);
            }
            int at = p.position();
            p.putShort((short) from.getPort()).putShort((short) to.getPort()).putInt(sequence).putInt(ack)
                .putShort((short) (5 << 12 | flags)).putShort((short) 0xffff).putInt(0).put(payload);
            int pseudo = 16 + head - 2 * source.length;
            p.putShort(at + 16, checksum(p, pseudo, 2 * source.length + tcp, 6 + tcp));
            write(p);
        }
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

    private void write(ByteBuffer bytes) throws IOException {
        left -= bytes.capacity();
        if (left >= 0) {
            out.write(bytes.array());
        }
    }

    public void flush() throws IOException {
        out.flush();
    }

    @Override
    public void close() throws IOException {
        out.close();
    }
}
