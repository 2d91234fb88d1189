package mintstair.wire;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.IOStrategy;
import org.glassfish.grizzly.Transport;
import org.glassfish.grizzly.nio.transport.TCPNIOServerConnection;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;

/**
 * Runs all events on the network thread, and pauses a listener after a failed accept. While file descriptors or buffers
 * are exhausted, a new connection stays in the kernel's accept queue and the listener stays readable, so Grizzly would
 * retry in a busy loop. The pauses grow exponentially.
 */
public final class AcceptRetryStrategy implements IOStrategy {
    private static final long INITIAL_PAUSE_MILLIS = 5;
    private static final long MAX_PAUSE_MILLIS = 80;

    private final IOStrategy delegate = SameThreadIOStrategy.getInstance();
    private final AtomicLong failures = new AtomicLong();
    /** The length of the next pause; accessed only on the network thread. */
    private long pauseMillis = INITIAL_PAUSE_MILLIS;

    /** Returns the number of failed accepts. May be called on any thread. */
    public long failures() {
        return failures.get();
    }

    @Override
    public boolean executeIoEvent(Connection connection, IOEvent event) throws IOException {
        return executeIoEvent(connection, event, true);
    }

    @Override
    public boolean executeIoEvent(Connection connection, IOEvent event, boolean isEventEnabled) throws IOException {
        if (event != IOEvent.SERVER_ACCEPT) {
            return delegate.executeIoEvent(connection, event, isEventEnabled);
        }
        TCPNIOServerConnection listener = (TCPNIOServerConnection) connection;
        try {
            listener.onAccept();
            pauseMillis = INITIAL_PAUSE_MILLIS;
        } catch (IOException e) {
            pause(listener, e);
        }
        return true;
    }

    private void pause(TCPNIOServerConnection listener, IOException cause) throws IOException {
        failures.incrementAndGet();
        if (pauseMillis == INITIAL_PAUSE_MILLIS) {
            System.err.println("accept: " + cause.getMessage() + "; retrying until it succeeds");
        }
        listener.disableIOEvent(IOEvent.SERVER_ACCEPT);
        Executor afterPause = CompletableFuture.delayedExecutor(pauseMillis, TimeUnit.MILLISECONDS);
        afterPause.execute(() -> resume(listener));
        pauseMillis = Math.min(MAX_PAUSE_MILLIS, 2 * pauseMillis);
    }

    private static void resume(TCPNIOServerConnection listener) {
        try {
            if (listener.isOpen() && listener.getSelectionKey().isValid()) {
                listener.enableIOEvent(IOEvent.SERVER_ACCEPT);
            }
        } catch (IOException | RuntimeException e) {
            // The listener was closed concurrently.
            System.err.println("accept: listener not resumed: " + e);
        }
    }

    @Override
    public Executor getThreadPoolFor(Connection connection, IOEvent event) {
        return delegate.getThreadPoolFor(connection, event);
    }

    @Override
    public ThreadPoolConfig createDefaultWorkerPoolConfig(Transport transport) {
        return delegate.createDefaultWorkerPoolConfig(transport);
    }
}
