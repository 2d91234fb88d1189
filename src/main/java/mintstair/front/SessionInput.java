package mintstair.front;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.Arrays;
import java.util.function.BooleanSupplier;
import mintstair.proxy.EventLoop;
import mintstair.wire.ReadThrottle;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.nio.NIOConnection;

/**
 * The read side of a client connection: passes what the network thread reads on to the event loop, with a bound on
 * what waits in between, and closes the connection without losing a request that was just sent.
 *
 * <p>Fields are written by the thread that their comment names; the volatile ones are read by the other as well.
 */
final class SessionInput {
    /** How many bytes may be read and not processed yet; past it the rest waits in the kernel's socket buffer. */
    private static final int MAX_UNPROCESSED_BYTES = 64 * 1024;

    private static final int FINAL_READ_BYTES = 4 * 1024;
    private static final int MAX_DISCARDED_BYTES = 256 * 1024;

    /** Takes what was read, on the event loop. */
    interface Handler {
        void received(ByteBuffer bytes, long readAtMicros);
    }

    private final NIOConnection connection;
    private final EventLoop loop;
    private final ReadThrottle throttle;
    private final Handler handler;
    /** Written by both threads; never reset. */
    private volatile boolean discarding;
    /** Written by the network thread. */
    private volatile int reads;
    /** Written by the network thread. */
    private volatile int discardedBytes;
    /** Of {@link #reads}, those that the event loop has processed; only there. */
    private int processedReads;

    SessionInput(Connection<?> connection, Front front, Handler handler) {
        this.connection = (NIOConnection) connection;
        this.loop = front.loop;
        this.handler = handler;
        throttle = new ReadThrottle(
                connection, MAX_UNPROCESSED_BYTES, MAX_UNPROCESSED_BYTES, front.unprocessedBytes, Long.MAX_VALUE);
    }

    /** Passes the bytes on to the event loop, or discards them; on the network thread. */
    // Only the network thread writes these counts, so that a plain increment of a volatile one loses none.
    @SuppressWarnings("NonAtomicVolatileUpdate")
    void read(ByteBuffer bytes) {
        int length = bytes.remaining();
        if (discarding) {
            discardedBytes += length;
            return;
        }
        reads++;
        // The loop may be busy, and the client's timeout begins now.
        long readAtMicros = loop.now();
        throttle.bytesRead(length);
        loop.execute(() -> {
            processedReads++;
            handler.received(bytes, readAtMicros);
            throttle.bytesConsumed(length);
        });
    }

    /** Discards all that is read from now on; on any thread. */
    void discard() {
        discarding = true;
    }

    /** Whether what is read is discarded; on any thread. */
    boolean isDiscarding() {
        return discarding;
    }

    /** Whether no byte has been received; on any thread. */
    boolean isSilent() {
        return reads == 0;
    }

    /** Whether the client has sent more after the end of its session than is read; on any thread. */
    boolean isDiscardLimitExceeded() {
        return discardedBytes > MAX_DISCARDED_BYTES;
    }

    /** Frees the memory that is accounted for this connection, which is over; on any thread. */
    void end() {
        throttle.connectionClosed();
    }

    /**
     * Closes the connection unless the client has sent something by then; on the event loop. A close over unread bytes
     * would reset the connection and cut off their request, so what is found is processed instead. The close is tried
     * again after the response.
     */
    void closeIfNothingToRead() {
        // A read on its way from the network thread to the loop has been seen there, but not here.
        int processed = processedReads;
        connection.executeInEventThread(IOEvent.READ, () -> closeUnlessReadSince(processed));
    }

    private void closeUnlessReadSince(int processed) {
        if (discarding || reads != processed) {
            return;
        }
        try {
            ByteBuffer unread = ByteBuffer.allocate(FINAL_READ_BYTES);
            if (channel().read(unread) > 0) {
                read(ByteBuffer.wrap(Arrays.copyOf(unread.array(), unread.position())));
                return;
            }
        } catch (IOException e) {
            // The connection is broken, which its close below reports as any other end.
        }
        discarding = true;
        connection.closeSilently();
    }

    /**
     * Shuts down the sending side, so that the client sees the end, while what it sends is read and discarded: a close
     * over unread bytes would reset the connection, and the client might lose the last response. On the event loop.
     *
     * @param closeNow asked on the network thread; true closes after one more read, as descriptors have run out
     */
    void shutdownOutput(BooleanSupplier closeNow) {
        connection.executeInEventThread(IOEvent.READ, () -> {
            try {
                channel().shutdownOutput();
                if (!closeNow.getAsBoolean()) {
                    return;
                }
                discardReadable();
            } catch (IOException e) {
                // The connection is broken, which its close below reports as any other end.
            }
            connection.closeSilently();
        });
    }

    private void discardReadable() throws IOException {
        ByteBuffer unread = ByteBuffer.allocate(FINAL_READ_BYTES);
        for (int read = 0; read < MAX_DISCARDED_BYTES && channel().read(unread) > 0; read += FINAL_READ_BYTES) {
            unread.clear();
        }
    }

    private SocketChannel channel() {
        return (SocketChannel) connection.getChannel();
    }
}
