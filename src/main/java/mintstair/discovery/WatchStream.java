package mintstair.discovery;

import java.util.concurrent.Future;
import mintstair.proxy.EventLoop;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.GrizzlyFuture;

/**
 * One connection to discovery and the call that is in flight on it. A call is overdue when its response, or the
 * connection before the first call, takes too long: an agent that was partitioned off may fall silent, also in the
 * middle of a response, without its connection ever closing. Used on the event loop only.
 */
final class WatchStream {
    /** The owner of the stream. */
    interface Listener {
        /** Whether the stream's connection is still wanted. */
        boolean isInUse(WatchStream stream);

        void onConnected(WatchStream stream);

        void onConnectFailure(WatchStream stream);

        /** The response is overdue; {@code pollWaitMicros} as given to {@link #expectResponse}. */
        void onOverdue(WatchStream stream, long pollWaitMicros);
    }

    private static final long NOT_IN_FLIGHT = Long.MAX_VALUE;

    private final EventLoop loop;
    private final WatchTransport transport;
    private final Listener listener;
    private GrizzlyFuture<Connection> connecting;
    private Connection<?> connection;
    /** The overdue check of the call in flight, or the next call after a delay. */
    private Future<?> timer;

    private long overdueAtMicros = NOT_IN_FLIGHT;
    private boolean finished;

    WatchStream(EventLoop loop, WatchTransport transport, Listener listener) {
        this.loop = loop;
        this.transport = transport;
        this.listener = listener;
    }

    /** Connects; overdue after this time. */
    void open(long timeoutMicros) {
        connecting = transport.connect(this::onConnected, () -> listener.onConnectFailure(this));
        expectResponse(0, timeoutMicros);
    }

    private void onConnected(Connection<?> established) {
        if (!listener.isInUse(this)) {
            established.closeSilently();
            return;
        }
        connection = established;
        listener.onConnected(this);
    }

    void requestSnapshot() {
        transport.requestSnapshot(connection);
    }

    void requestDelta(long revision, long waitMicros) {
        transport.requestDelta(connection, revision, waitMicros);
    }

    /**
     * Begins to wait for the response to a call.
     *
     * @param pollWaitMicros how long the service holds the call; 0 for one that it responds to at once
     * @param timeoutMicros after how long the response is overdue
     */
    void expectResponse(long pollWaitMicros, long timeoutMicros) {
        cancelTimer();
        overdueAtMicros = loop.now() + timeoutMicros;
        timer = loop.at(overdueAtMicros, () -> listener.onOverdue(this, pollWaitMicros));
    }

    /** Makes the call in flight, if there is one, overdue after this time, unless it will be earlier. */
    void advanceTimeout(long pollWaitMicros, long timeoutMicros) {
        if (overdueAtMicros != NOT_IN_FLIGHT && overdueAtMicros > loop.now() + timeoutMicros) {
            expectResponse(pollWaitMicros, timeoutMicros);
        }
    }

    /** Runs {@code call} at this time on the loop's clock; nothing is in flight until then. */
    void scheduleCall(long atMicros, Runnable call) {
        cancelTimer();
        overdueAtMicros = NOT_IN_FLIGHT;
        timer = loop.at(atMicros, call);
    }

    void recordResponse(DiscoveryResponse response) {
        finished = response.endsConnection();
    }

    /** Whether the last response ended the connection, so that the next call needs another stream. */
    boolean isFinished() {
        return finished;
    }

    boolean isOn(Connection<?> other) {
        return connection == other;
    }

    private void cancelTimer() {
        if (timer != null) {
            timer.cancel(false);
        }
    }

    void close() {
        cancelTimer();
        if (connection != null) {
            connection.closeSilently();
        } else {
            // The operating system would go on trying to connect for minutes.
            connecting.cancel(true);
        }
    }
}
