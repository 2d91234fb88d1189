package mintstair.pcap;

import java.io.Closeable;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;

/** A blocking connection to a front. */
final class FrontSocket implements Closeable {
    private static final int TIMEOUT_MILLIS = (int) Duration.ofMinutes(1).toMillis();

    private final Socket socket = new Socket();
    private final DataInputStream in;

    FrontSocket(InetSocketAddress front) throws IOException {
        socket.connect(front, TIMEOUT_MILLIS);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(TIMEOUT_MILLIS);
        in = new DataInputStream(socket.getInputStream());
    }

    void write(byte[] message) throws IOException {
        socket.getOutputStream().write(message);
    }

    DataInputStream in() {
        return in;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
