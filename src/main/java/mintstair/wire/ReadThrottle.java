package mintstair.wire;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicLong;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.nio.NIOConnection;

/**
 * Back-pressure on the read side of one connection: pauses its reads while too many bytes that were read are not used
 * yet, so that the rest waits in the kernel's socket buffer and the sender is slowed down. Thread-safe.
 */
public final class ReadThrottle {
    private final Connection<?> connection;
    private final int maxBytes;
    private final int maxBytesWhenFull;
    private final AtomicLong totalBytes;
    private final long maxTotalBytes;

    /** Guarded by this, as are the next two. */
    private int pendingBytes;

    private boolean paused;
    private boolean ended;

    /**
     * Makes the throttle of a connection.
     *
     * @param maxBytes past so many unused bytes reads are paused; a single read may exceed it
     * @param maxBytesWhenFull the same while the total is over {@code maxTotalBytes}
     * @param totalBytes the unused bytes of all connections that share the limit
     */
    public ReadThrottle(
            Connection<?> connection, int maxBytes, int maxBytesWhenFull, AtomicLong totalBytes, long maxTotalBytes) {
        this.connection = connection;
        this.maxBytes = maxBytes;
        this.maxBytesWhenFull = maxBytesWhenFull;
        this.totalBytes = totalBytes;
        this.maxTotalBytes = maxTotalBytes;
    }

    /** Notes that so many bytes were read; may pause reads. */
    public synchronized void bytesRead(int bytes) {
        if (ended) {
            return;
        }
        pendingBytes += bytes;
        boolean full = totalBytes.addAndGet(bytes) > maxTotalBytes;
        if (pendingBytes > (full ? maxBytesWhenFull : maxBytes) && !paused) {
            paused = true;
            setReading(false);
        }
    }

    /** Notes that so many of the bytes that were read are used; may resume reads. */
    public synchronized void bytesConsumed(int bytes) {
        if (ended) {
            return;
        }
        pendingBytes -= bytes;
        totalBytes.addAndGet(-bytes);
        if (paused && pendingBytes <= maxBytesWhenFull / 2) {
            paused = false;
            setReading(true);
        }
    }

    /** Removes this connection, which is closed, from the total; later calls have no effect. */
    public synchronized void connectionClosed() {
        ended = true;
        totalBytes.addAndGet(-pendingBytes);
        pendingBytes = 0;
    }

    /** Whether reads are paused, so that nothing can arrive. */
    public synchronized boolean isPaused() {
        return paused;
    }

    private void setReading(boolean enabled) {
        try {
            if (enabled) {
                ((NIOConnection) connection).enableIOEvent(IOEvent.READ);
            } else {
                ((NIOConnection) connection).disableIOEvent(IOEvent.READ);
            }
        } catch (IOException e) {
            // The connection is unusable, which its close listeners report.
            connection.terminateSilently();
        }
    }
}
