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
 * Carries out all events of a network on its one thread, and lets a listener rest that cannot accept: while there are no descriptors or
 * buffers the connection that waits stays there, and its listener would be tried without end. Each rest is twice as long as the last.
 */
public final class AcceptRetryStrategy implements IOStrategy {
    private static final long FIRST_REST_MILLIS = 5;
    private static final long LONGEST_REST_MILLIS = 80;

    private final IOStrategy usual = SameThreadIOStrategy.getInstance();
    private final AtomicLong failures = new AtomicLong();
    /** The next rest; on the network thread. */
    private long restMillis = FIRST_REST_MILLIS;

    /** How often a connection could not be accepted; on any thread. */
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
            return usual.executeIoEvent(connection, event, isEventEnabled);
        }
        TCPNIOServerConnection listener = (TCPNIOServerConnection) connection;
        try {
            listener.onAccept();
            restMillis = FIRST_REST_MILLIS;
        } catch (IOException e) {
            rest(listener, e);
        }
        return true;
    }

    private void rest(TCPNIOServerConnection listener, IOException why) throws IOException {
        failures.incrementAndGet();
        if (restMillis == FIRST_REST_MILLIS) {
            System.err.println("accept: " + why.getMessage() + "; tried again until it succeeds");
        }
        listener.disableIOEvent(IOEvent.SERVER_ACCEPT);
        Executor later = CompletableFuture.delayedExecutor(restMillis, TimeUnit.MILLISECONDS);
        later.execute(() -> resume(listener));
        restMillis = Math.min(LONGEST_REST_MILLIS, 2 * restMillis);
    }

    private static void resume(TCPNIOServerConnection listener) {
        try {
            if (listener.isOpen() && listener.getSelectionKey().isValid()) {
                listener.enableIOEvent(IOEvent.SERVER_ACCEPT);
            }
        } catch (IOException | RuntimeException e) {
            // It was closed just now, and listens no more.
            System.err.println("accept: not resumed: " + e);
        }
    }

    @Override
    public Executor getThreadPoolFor(Connection connection, IOEvent event) {
        return usual.getThreadPoolFor(connection, event);
    }

    @Override
    public ThreadPoolConfig createDefaultWorkerPoolConfig(Transport transport) {
        return usual.createDefaultWorkerPoolConfig(transport);
    }
}
