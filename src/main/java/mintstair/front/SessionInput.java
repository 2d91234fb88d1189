package mintstair.front;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.Arrays;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import mintstair.proxy.EventLoop;
import mintstair.wire.ReadThrottle;
import mintstair.wire.SocketPoll;
import mintstair.wire.SocketState;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.nio.NIOConnection;

/**
 * The read side of a client connection: passes bytes from the network thread to the event loop, with a bound on the
 * bytes queued in between, pauses reading, and closes the connection without losing a request that has just been sent.
 *
 * <p>Each field is written by the thread that its comment names; the volatile ones are also read by other threads.
 */
final class SessionInput {
    /** Limit on the bytes read and not yet processed; above it, input stays in the socket buffer of the kernel. */
    private static final int MAX_UNPROCESSED_BYTES = 64 * 1024;
    /** The same limit while the clients of the front together exceed the limit below. */
    private static final int MAX_UNPROCESSED_BYTES_WHEN_FULL = 8 * 1024;

    private static final long MAX_TOTAL_UNPROCESSED_BYTES = 4L * 1024 * 1024;

    private static final int FINAL_READ_BYTES = 4 * 1024;
    private static final int MAX_DISCARDED_BYTES = 256 * 1024;
    private static final long NEVER = Long.MAX_VALUE;

    /** Receives the bytes that were read, on the event loop. */
    interface Handler {
        void received(ByteBuffer bytes, long readAtMicros);
    }

    private final NIOConnection connection;
    private final EventLoop loop;
    private final ReadThrottle throttle;
    private final Handler handler;
    /** Written by both threads; never reset to false. */
    private volatile boolean discarding;
    /** Written by the network thread. */
    private volatile int reads;
    /** Written by the network thread. */
    private volatile int discardedBytes;
    /** The number of {@link #reads} that the event loop has processed; used by the event loop only. */
    private int processedReads;
    /** The bytes that the event loop has processed, but that still count as pending; used by the event loop only. */
    private int unconsumedBytes;
    /** Whether the event loop has paused reading; used by the event loop only. */
    private boolean paused;
    /** Whether reading was ever paused, so that the client's close may be behind unread input; as above. */
    private boolean everPaused;
    /** Used by the network thread only, as is the next field. */
    private long pausedSinceMicros;
    /** The time from which on the next bytes may have been unread, or {@link #NEVER}. */
    private long unreadSinceMicros = NEVER;

    SessionInput(Connection<?> connection, Front front, Handler handler) {
        this.connection = (NIOConnection) connection;
        this.loop = front.loop;
        this.handler = handler;
        throttle = new ReadThrottle(
                connection,
                MAX_UNPROCESSED_BYTES,
                MAX_UNPROCESSED_BYTES_WHEN_FULL,
                front.unprocessedBytes,
                MAX_TOTAL_UNPROCESSED_BYTES);
    }

    /** Passes the bytes to the event loop, or discards them; on the network thread. */
    // Only the network thread writes these counters, so incrementing a volatile field loses no update.
    @SuppressWarnings("NonAtomicVolatileUpdate")
    void read(ByteBuffer bytes) {
        int length = bytes.remaining();
        if (discarding) {
            discardedBytes += length;
            return;
        }
        reads++;
        // The timeout of the request starts when it can be read, even if reading is paused or the event loop is busy.
        long readAtMicros = Math.min(unreadSinceMicros, loop.now());
        unreadSinceMicros = NEVER;
        throttle.bytesRead(length);
        loop.execute(() -> {
            processedReads++;
            unconsumedBytes += length;
            handler.received(bytes, readAtMicros);
            consumeUnlessPaused();
        });
    }

    /** While reading is paused, what was read before counts as pending: the network thread then stops without delay. */
    private void consumeUnlessPaused() {
        if (!paused) {
            throttle.bytesConsumed(unconsumedBytes);
            unconsumedBytes = 0;
        }
    }

    /** Pauses or resumes reading; on the event loop. */
    void setPaused(boolean pause) {
        if (pause == paused) {
            return;
        }
        paused = pause;
        everPaused = true;
        consumeUnlessPaused();
        long nowMicros = loop.now();
        connection.executeInEventThread(IOEvent.READ, () -> applyPause(pause, nowMicros));
    }

    private void applyPause(boolean pause, long nowMicros) {
        if (pause) {
            pausedSinceMicros = nowMicros;
        } else {
            boolean hasUnreadInput =
                    socketState().map(SocketState::hasUnreadInput).orElse(false);
            unreadSinceMicros = hasUnreadInput ? pausedSinceMicros : NEVER;
        }
        throttle.setHeld(pause);
    }

    /** Whether the event loop has paused reading; on the event loop. */
    boolean isPaused() {
        return paused;
    }

    /** Returns the state of the socket in the kernel, if it can be determined; on any thread. */
    Optional<SocketState> socketState() {
        return SocketPoll.of(channel());
    }

    /**
     * Whether the client has closed the connection, and this may not have been reported because input that it sent
     * before has not been read; on the event loop.
     */
    boolean isClosedBehindUnreadInput() {
        return (everPaused || throttle.isPaused())
                && socketState().map(SocketState::isClosedByPeer).orElse(false);
    }

    /** Whether the event loop has not yet processed all bytes that were read; on the event loop. */
    boolean hasUnprocessedReads() {
        return reads != processedReads;
    }

    /** Discards all bytes that are read from now on; on any thread. */
    void discard() {
        discarding = true;
    }

    /** Whether bytes that are read are discarded; on any thread. */
    boolean isDiscarding() {
        return discarding;
    }

    /** Whether no byte has been received; on any thread. */
    boolean isSilent() {
        return reads == 0;
    }

    /** Whether the client has sent more bytes than may be discarded after the end of its session; on any thread. */
    boolean isDiscardLimitExceeded() {
        return discardedBytes > MAX_DISCARDED_BYTES;
    }

    /** Releases the bytes accounted to this connection, which is closed; on any thread. */
    void release() {
        throttle.connectionClosed();
    }

    /**
     * Closes the connection unless the client has sent bytes that are not processed yet; on the event loop. Closing a
     * socket with unread bytes resets the connection, and the request in them would be lost, so they are processed
     * instead. The close is attempted again after the response.
     */
    void closeIfNothingToRead() {
        // The network thread may have counted a read that the event loop has not processed yet.
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
            // The connection is broken; the close below reports its end.
        }
        discarding = true;
        connection.closeSilently();
    }

    /**
     * Shuts down the sending side, so that the client sees the end of the stream, while its input is still read and
     * discarded: closing a socket with unread bytes would reset the connection, and the client might lose the last
     * response. On the event loop.
     *
     * @param closeNow evaluated on the network thread; true closes the connection after discarding the bytes that can
     *     be read at once, as the limit on connections is exceeded
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
                // The connection is broken; the close below reports its end.
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
