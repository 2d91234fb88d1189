package mintstair.pcap;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;

/** A replayed connection of a PostgreSQL client: each message is followed by messages up to ReadyForQuery. */
final class PgReplaySession implements SerialReplay.Session {
    private static final int READY_FOR_QUERY = 'Z';
    private static final int TERMINATE = 'X';
    /**
     * Upper half of the code in requests for encryption, and to cancel, which come in place of a start-up packet.
     */
    private static final int SPECIAL_REQUEST = 1234;

    private final FrontSocket socket;
    private boolean started;

    PgReplaySession(InetSocketAddress front) throws IOException {
        socket = new FrontSocket(front);
    }

    @Override
    public boolean isGoodbye(byte[] message) {
        return started && message[0] == TERMINATE;
    }

    @Override
    public boolean exchange(byte[] message) throws IOException {
        socket.write(message);
        if (!started && isSpecialRequest(message)) {
            return socket.in().read() >= 0;
        }
        started = true;
        return readToReady(socket.in());
    }

    private static boolean isSpecialRequest(byte[] message) {
        return ByteBuffer.wrap(message).getInt(4) >> 16 == SPECIAL_REQUEST;
    }

    private static boolean readToReady(DataInputStream in) throws IOException {
        for (int type = in.read(); type >= 0; type = in.read()) {
            in.readNBytes(in.readInt() - Integer.BYTES);
            if (type == READY_FOR_QUERY) {
                return true;
            }
        }
        return false;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
