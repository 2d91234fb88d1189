package mintstair.pcap;

import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes connections to one classic pcap file that stops growing at a bound. Not safe for use by several threads. */
public final class PcapWriter implements AutoCloseable {
    private final OutputStream out;
    private long left;

    /** {@code most}: the file stops growing before this many bytes. */
    public PcapWriter(Path file, long most) throws IOException {
        out = new BufferedOutputStream(Files.newOutputStream(file), 32 * 1024);
        left = most;
        write(TcpConversation.head());
    }

    /** One connection in the file. */
    public final class Conversation {
        private final TcpConversation records;

        /** Begins a connection that a client made at this time, in Unix microseconds. */
        public Conversation(long time, InetSocketAddress client, InetSocketAddress proxy) throws IOException {
            records = new TcpConversation(client, proxy, PcapWriter.this::write);
            records.begin(time);
        }

        public void said(long time, boolean byClient, byte[] bytes) throws IOException {
            records.said(time, byClient, bytes);
        }

        public void ended(long time) throws IOException {
            records.ended(time);
        }
    }

    private void write(byte[] bytes) throws IOException {
        left -= bytes.length;
        if (left >= 0) {
            out.write(bytes);
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
