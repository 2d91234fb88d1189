package mintstair.traffic;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * A non-blocking connection of a replay to the front. What is sent and received goes through an exchange decoder,
 * too, which finds the responses. For the replay's thread.
 */
final class FrontConnection {
    private final SocketChannel channel;
    private final SelectionKey key;
    private final ReplayClock clock;
    private final ExchangeDecoder decoder;
    private final Deque<ByteBuffer> unsent = new ArrayDeque<>();
    private boolean connectFailed;
    private boolean closed;

    /** Registers a connection, which is the attachment of its selection key; it is not connected yet. */
    FrontConnection(Selector selector, ReplayClock clock, ExchangeDecoder decoder) throws IOException {
        this.clock = clock;
        this.decoder = decoder;
        channel = SocketChannel.open();
        channel.configureBlocking(false);
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        key = channel.register(selector, SelectionKey.OP_CONNECT, this);
    }

    /** Begins to connect; where that fails at once, the next {@link #flush} does. */
    void connect(InetSocketAddress front) {
        try {
            if (channel.connect(front)) {
                key.interestOps(SelectionKey.OP_READ);
            }
        } catch (IOException e) {
            connectFailed = true;
        }
    }

    boolean isClosed() {
        return closed;
    }

    /** Adds a message to what is to be sent. */
    void enqueue(byte[] message) {
        unsent.add(ByteBuffer.wrap(message));
        decoder.feed(clock.nanos(), true, message, 0, message.length);
    }

    /** Sends what the network takes; the rest is sent when the channel is ready for it. */
    void flush() throws IOException {
        if (connectFailed) {
            throw new IOException("refused");
        }
        if (!channel.isConnected()) {
            return;
        }
        while (!unsent.isEmpty()) {
            channel.write(unsent.peek());
            if (unsent.peek().hasRemaining()) {
                key.interestOps(SelectionKey.OP_READ | SelectionKey.OP_WRITE);
                return;
            }
            unsent.poll();
        }
        key.interestOps(SelectionKey.OP_READ);
    }

    /** Does what the selector found the channel ready for. */
    void onReady(ByteBuffer readBuffer) throws IOException {
        if (key.isConnectable() && channel.finishConnect()) {
            key.interestOps(SelectionKey.OP_READ);
        }
        flush();
        if (!key.isReadable()) {
            return;
        }
        readBuffer.clear();
        int length = channel.read(readBuffer);
        if (length < 0) {
            throw new IOException("closed by the front");
        }
        decoder.feed(clock.nanos(), false, readBuffer.array(), 0, length);
    }

    /** Closes the connection; requests that were sent on it have no response. */
    void close() {
        if (closed) {
            return;
        }
        closed = true;
        key.cancel();
        try {
            channel.close();
        } catch (IOException e) {
            // The channel counts as closed all the same, and nothing depends on how it ended.
        }
        decoder.end();
    }
}
