package mintstair.pcap;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import mintstair.wire.MongoMessage;

/** A replayed connection of a MongoDB client: each message has one reply, unless it says that none is expected. */
final class MongoReplaySession implements SerialReplay.Session {
    private final FrontSocket socket;

    MongoReplaySession(InetSocketAddress front) throws IOException {
        socket = new FrontSocket(front);
    }

    @Override
    public boolean isGoodbye(byte[] message) {
        return false;
    }

    @Override
    public boolean exchange(byte[] message) throws IOException {
        socket.write(message);
        if ((MongoMessage.parse(message).flags() & MongoMessage.MORE_TO_COME) != 0) {
            return false;
        }
        byte[] lengthBytes = socket.in().readNBytes(Integer.BYTES);
        if (lengthBytes.length < Integer.BYTES) {
            return false;
        }
        int length = ByteBuffer.wrap(lengthBytes).order(ByteOrder.LITTLE_ENDIAN).getInt();
        socket.in().readNBytes(length - Integer.BYTES);
        return true;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
