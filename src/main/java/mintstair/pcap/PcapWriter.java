package mintstair.pcap;

import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Writes connections to one classic pcap file, which stops growing at a limit. Times are Unix microseconds. Not
 * safe for use by several threads.
 */
public final class PcapWriter implements AutoCloseable {
    private static final int WRITE_BUFFER_BYTES = 32 * 1024;

    private final OutputStream out;
    private long remainingBytes;

    /**
     * Creates the file.
     *
     * @param maxBytes from the first record on that would make the file larger, nothing is written
     */
    public PcapWriter(Path file, long maxBytes) throws IOException {
        out = new BufferedOutputStream(Files.newOutputStream(file), WRITE_BUFFER_BYTES);
        remainingBytes = maxBytes;
        write(TcpPacketEncoder.fileHeader());
    }

    /** Begins a connection that a client made at this time. */
    public Conversation begin(long timeMicros, InetSocketAddress client, InetSocketAddress server) throws IOException {
        TcpPacketEncoder packets = new TcpPacketEncoder(client, server, this::write);
        packets.open(timeMicros);
        return new Conversation(packets);
    }

    /** One connection in the file. */
    public static final class Conversation {
        private final TcpPacketEncoder packets;

        private Conversation(TcpPacketEncoder packets) {
            this.packets = packets;
        }

        /** Writes bytes that one side sent. */
        public void sent(long timeMicros, boolean fromClient, byte[] bytes) throws IOException {
            packets.send(timeMicros, fromClient, bytes);
        }

        /** Writes the end of the connection. */
        public void ended(long timeMicros) throws IOException {
            packets.close(timeMicros);
        }
    }

    private void write(byte[] bytes) throws IOException {
        remainingBytes -= bytes.length;
        if (remainingBytes >= 0) {
            out.write(bytes);
        }
    }

    /** Hands what was written to the operating system. */
    public void flush() throws IOException {
        out.flush();
    }

    @Override
    public void close() throws IOException {
        out.close();
    }
}
