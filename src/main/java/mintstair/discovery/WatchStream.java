package mintstair.discovery;

import java.util.concurrent.Future;
import mintstair.proxy.EventLoop;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.GrizzlyFuture;

/**
 * A connection to the discovery service with at most one call in flight. Reports a call as overdue when its response
 * takes too long, and likewise when connecting takes too long: a service behind a network partition may stop responding
 * at any point, even in the middle of a response, without the connection ever closing. Confined to the event loop.
 */
final class WatchStream {
    /** The owner of the stream, which is notified of its events. */
    interface Listener {
        /** Returns whether the stream is still in use; if not, a connection that is established late is closed. */
        boolean isInUse(WatchStream stream);

        /** Called when the connection is established and a call can be sent on it. */
        void onConnected(WatchStream stream);

        /** Called when the connection could not be established. */
        void onConnectFailure(WatchStream stream);

        /**
         * Called when connecting or a response is overdue.
         *
         * @param pollWaitMicros how long the service may hold the call; 0 for a call that is not held
         */
        void onOverdue(WatchStream stream, long pollWaitMicros);
    }

    private static final long NOTHING_IN_FLIGHT = Long.MAX_VALUE;

    private final EventLoop loop;
    private final WatchTransport transport;
    private final Listener listener;
    private GrizzlyFuture<Connection> connectAttempt;
    /** Null until the connection is established. */
    private Connection<?> connection;
    /** Reports the call in flight as overdue, or sends the next call after a delay. */
    private Future<?> timer;
    /** On the loop's clock; {@link #NOTHING_IN_FLIGHT} while no response and no connection is expected. */
    private long overdueAtMicros = NOTHING_IN_FLIGHT;

    private boolean connectionClosed;

    WatchStream(EventLoop loop, WatchTransport transport, Listener listener) {
        this.loop = loop;
        this.transport = transport;
        this.listener = listener;
    }

    /**
     * Starts to connect.
     *
     * @param timeoutMicros the time after which connecting is overdue
     */
    void open(long timeoutMicros) {
        connectAttempt = transport.connect(this::onConnected, () -> listener.onConnectFailure(this));
        expectResponse(0, timeoutMicros);
    }

    private void onConnected(Connection<?> newConnection) {
        if (!listener.isInUse(this)) {
            newConnection.closeSilently();
            return;
        }
        connection = newConnection;
        listener.onConnected(this);
    }

    void requestSnapshot() {
        transport.requestSnapshot(connection);
    }

    void requestDelta(long revision, long waitMicros) {
        transport.requestDelta(connection, revision, waitMicros);
    }

    /**
     * Starts the timer of the response to a call.
     *
     * @param pollWaitMicros how long the service may hold the call before it responds; 0 if it is to respond at once
     * @param timeoutMicros the time after which the response is overdue
     */
    void expectResponse(long pollWaitMicros, long timeoutMicros) {
        cancelTimer();
        overdueAtMicros = loop.now() + timeoutMicros;
        timer = loop.at(overdueAtMicros, () -> listener.onOverdue(this, pollWaitMicros));
    }

    /**
     * Makes the call in flight, if any, overdue once {@code timeoutMicros} have passed from now, unless it is overdue
     * before that. The parameters are those of {@link #expectResponse}.
     */
    void shortenTimeout(long pollWaitMicros, long timeoutMicros) {
        if (overdueAtMicros != NOTHING_IN_FLIGHT && overdueAtMicros > loop.now() + timeoutMicros) {
            expectResponse(pollWaitMicros, timeoutMicros);
        }
    }

    /** Runs {@code call} at the given time of the loop's clock; nothing is in flight until then. */
    void scheduleCall(long timeMicros, Runnable call) {
        cancelTimer();
        overdueAtMicros = NOTHING_IN_FLIGHT;
        timer = loop.at(timeMicros, call);
    }

    /** Records whether the connection can be used after this response. */
    void recordResponse(DiscoveryResponse response) {
        connectionClosed = response.connectionClosed();
    }

    /** Returns whether the last response ended with the connection, so that the next call needs a new stream. */
    boolean isConnectionClosed() {
        return connectionClosed;
    }

    boolean usesConnection(Connection<?> other) {
        return connection == other;
    }

    private void cancelTimer() {
        if (timer != null) {
            timer.cancel(false);
        }
    }

    /** Closes the connection, or cancels the attempt to connect. The listener is not notified of it. */
    void close() {
        cancelTimer();
        if (connection != null) {
            connection.closeSilently();
        } else {
            // Otherwise the operating system would keep trying to connect for minutes.
            connectAttempt.cancel(true);
        }
    }
}
