package mintstair.wire;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicLong;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.nio.NIOConnection;

/** Has a connection read no further while too much of what was read waits to be used: the rest waits in its socket. */
public final class ReadThrottle {
    private final Connection<?> connection;
    private final int most;
    private final int mostInNeed;
    private final AtomicLong inAll;
    private final long mostInAll;
    private int held;
    private boolean paused;
    private boolean ended;

    /** At most {@code most} bytes or so wait here, and {@code mostInNeed} where those of all are over {@code mostInAll}. */
    public ReadThrottle(Connection<?> connection, int most, int mostInNeed, AtomicLong inAll, long mostInAll) {
        this.connection = connection;
        this.most = most;
        this.mostInNeed = mostInNeed;
        this.inAll = inAll;
        this.mostInAll = mostInAll;
    }

    /** So much was read. */
    public synchronized void read(int bytes) {
        if (ended) {
            return;
        }
        held += bytes;
        if (held > (inAll.addAndGet(bytes) > mostInAll ? mostInNeed : most) && !paused) {
            paused = true;
            reading(false);
        }
    }

    /** So much of it was used. */
    public synchronized void used(int bytes) {
        if (ended) {
            return;
        }
        held -= bytes;
        inAll.addAndGet(-bytes);
        if (paused && held <= mostInNeed / 2) {
            paused = false;
            reading(true);
        }
    }

    /** The connection is over: nothing of it waits any more. */
    public synchronized void end() {
        ended = true;
        inAll.addAndGet(-held);
        held = 0;
    }

    /** Whether the other end is kept waiting from here. */
    public synchronized boolean isPaused() {
        return paused;
    }

    private void reading(boolean on) {
        try {
            if (on) {
                ((NIOConnection) connection).enableIOEvent(IOEvent.READ);
            } else {
                ((NIOConnection) connection).disableIOEvent(IOEvent.READ);
            }
        } catch (IOException e) {
            connection.terminateSilently();
        }
    }
}
