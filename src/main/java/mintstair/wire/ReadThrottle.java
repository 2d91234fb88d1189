package mintstair.wire;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicLong;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.nio.NIOConnection;

/**
 * Applies back-pressure to the read side of one connection. It pauses reads while too many bytes that were read are
 * pending, that is, not consumed yet, and while its owner holds the connection. Further bytes then stay in the kernel's
 * socket buffer, which slows down the sender. Thread-safe.
 */
public final class ReadThrottle {
    private final Connection<?> connection;
    private final int maxBytes;
    private final int maxBytesWhenFull;
    private final AtomicLong totalBytes;
    private final long maxTotalBytes;

    /** The bytes that were read and not consumed yet. Guarded by this, as are the next four fields. */
    private int pendingBytes;

    private boolean overLimit;
    private boolean held;
    private boolean paused;
    private boolean closed;

    /**
     * Creates the throttle of a connection.
     *
     * @param maxBytes the number of pending bytes above which reads are paused; a single read may exceed it
     * @param maxBytesWhenFull the same limit while the total is over {@code maxTotalBytes}
     * @param totalBytes the pending bytes of all connections that share the limit {@code maxTotalBytes}
     */
    public ReadThrottle(
            Connection<?> connection, int maxBytes, int maxBytesWhenFull, AtomicLong totalBytes, long maxTotalBytes) {
        this.connection = connection;
        this.maxBytes = maxBytes;
        this.maxBytesWhenFull = maxBytesWhenFull;
        this.totalBytes = totalBytes;
        this.maxTotalBytes = maxTotalBytes;
    }

    /** Records that this number of bytes was read. May pause reads. */
    public synchronized void bytesRead(int bytes) {
        if (closed) {
            return;
        }
        pendingBytes += bytes;
        boolean full = totalBytes.addAndGet(bytes) > maxTotalBytes;
        if (pendingBytes > (full ? maxBytesWhenFull : maxBytes)) {
            overLimit = true;
            pauseOrResume();
        }
    }

    /** Records that this number of the bytes that were read is consumed. May resume reads. */
    public synchronized void bytesConsumed(int bytes) {
        if (closed) {
            return;
        }
        pendingBytes -= bytes;
        totalBytes.addAndGet(-bytes);
        if (pendingBytes <= maxBytesWhenFull / 2) {
            overLimit = false;
            pauseOrResume();
        }
    }

    /** Pauses reads until the hold is released, whatever the number of pending bytes. */
    public synchronized void setHeld(boolean hold) {
        held = hold;
        pauseOrResume();
    }

    /** Removes the pending bytes of this closed connection from the total. Later calls have no effect. */
    public synchronized void connectionClosed() {
        closed = true;
        totalBytes.addAndGet(-pendingBytes);
        pendingBytes = 0;
    }

    /** Returns whether reads are paused, so that no bytes can arrive. */
    public synchronized boolean isPaused() {
        return paused;
    }

    private void pauseOrResume() {
        boolean pause = overLimit || held;
        if (pause != paused && !closed) {
            paused = pause;
            setReading(!pause);
        }
    }

    private void setReading(boolean enabled) {
        try {
            if (enabled) {
                ((NIOConnection) connection).enableIOEvent(IOEvent.READ);
            } else {
                ((NIOConnection) connection).disableIOEvent(IOEvent.READ);
            }
        } catch (IOException e) {
            // The connection is unusable. Its close listeners are notified by the termination.
            connection.terminateSilently();
        }
    }
}
