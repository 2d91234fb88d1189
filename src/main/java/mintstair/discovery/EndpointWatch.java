package mintstair.discovery;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.concurrent.Future;
import java.util.function.Consumer;
import mintstair.discovery.pace.WatchPacing;
import mintstair.discovery.pace.WatchPacing.Failure;
import mintstair.proxy.EventLoop;
import mintstair.request.EndpointList;
import mintstair.stats.Counters;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;

/**
 * Keeps the endpoint list of one discovery service current. The watch requests a snapshot and then sends one long poll
 * for a delta after another. The service retains deltas for 200 ms after a response, so the next poll is sent at once.
 *
 * <p>Calls are made on {@link WatchStream}s. A stream that cannot connect, loses its connection or has an overdue
 * response is replaced after the delay that {@link WatchPacing} determines. After an error status or a malformed list
 * the next call is delayed as well, and is made on the same connection if that is still open. If the pacing hedges
 * overdue calls, a further stream is opened at once beside the overdue one, and the stream that responds first is kept.
 *
 * <p>All methods must be called on the event loop, where the listener is called as well. The constructor may be called
 * on any thread.
 */
public final class EndpointWatch {
    private static final int HTTP_OK = 200;
    /** Stands for having no list that a delta could be applied to, so that the next call requests the snapshot. */
    private static final long UNKNOWN_REVISION = -1;

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final WatchTransport transport;
    private final Consumer<EndpointList> listener;
    private final Counters counters;
    private final WatchFailureLog failureLog;
    /** The streams whose responses are still accepted, oldest first. */
    private final ArrayDeque<WatchStream> streams = new ArrayDeque<>();

    private WatchPacing pacing;
    /** The revision of the list in use; negative if the snapshot is to be requested. */
    private long revision;

    private boolean lastCallSucceeded;
    /** Opens a stream after a delay; null if none is to be opened. */
    private Future<?> delayedStart;

    private boolean closed;

    /**
     * Creates a watch, which makes no call until {@link #start()}.
     *
     * @param revision the revision after which changes are requested; negative to request the snapshot
     * @param pacing when calls are made and how long they may take
     * @param counters receives the number of calls and of failed calls
     * @param listener receives each snapshot and delta; if it throws, the snapshot is requested again
     */
    public EndpointWatch(
            EventLoop loop,
            TCPNIOTransport transport,
            InetSocketAddress address,
            long revision,
            WatchPacing pacing,
            Counters counters,
            Consumer<EndpointList> listener) {
        this.loop = loop;
        this.address = address;
        this.revision = revision;
        this.pacing = pacing;
        this.counters = counters;
        this.listener = listener;
        this.transport = new WatchTransport(loop, transport, address, new ConnectionEvents());
        failureLog = new WatchFailureLog(loop::now);
    }

    /** Opens a stream. Closes the oldest one first if there are already as many as the pacing allows. */
    public void start() {
        if (closed) {
            return;
        }
        if (streams.size() >= pacing.maxInFlight()) {
            streams.pollFirst().close();
        }
        WatchStream stream = new WatchStream(loop, transport, new StreamEvents());
        streams.add(stream);
        stream.open(pacing.responseTimeoutMicros(0));
    }

    /**
     * Replaces the pacing. The latest call in flight becomes overdue no later than if it were sent now, under the new
     * pacing.
     */
    public void setPacing(WatchPacing newPacing) {
        pacing = newPacing;
        WatchStream newest = streams.peekLast();
        if (newest != null) {
            long waitMicros = pacing.pollWaitMicros(lastCallSucceeded);
            newest.shortenTimeout(waitMicros, pacing.responseTimeoutMicros(waitMicros));
        }
    }

    /** Closes all connections. The listener is not called any more, and the watch cannot be started again. */
    public void close() {
        closed = true;
        closeAllExcept(null);
    }

    private void startAfterDelay(Failure failure) {
        cancelDelayedStart();
        delayedStart = loop.at(loop.now() + pacing.retryDelayMicros(failure), this::start);
    }

    private void cancelDelayedStart() {
        if (delayedStart != null) {
            delayedStart.cancel(false);
            delayedStart = null;
        }
    }

    private void closeAllExcept(WatchStream kept) {
        cancelDelayedStart();
        streams.removeIf(stream -> {
            if (stream == kept) {
                return false;
            }
            stream.close();
            return true;
        });
    }

    /** Sends the next call on this stream, or on a new one if the stream's connection is closed. */
    private void sendCall(WatchStream stream) {
        if (stream.isConnectionClosed()) {
            streams.remove(stream);
            stream.close();
            start();
            return;
        }
        long waitMicros = 0;
        if (revision < 0) {
            stream.requestSnapshot();
        } else {
            waitMicros = pacing.pollWaitMicros(lastCallSucceeded);
            stream.requestDelta(revision, waitMicros);
        }
        counters.discoveryCalls++;
        stream.expectResponse(waitMicros, pacing.responseTimeoutMicros(waitMicros));
    }

    private void sendCallAfterDelay(WatchStream stream, Failure failure) {
        stream.scheduleCall(loop.now() + pacing.retryDelayMicros(failure), () -> sendCall(stream));
    }

    private void recordFailure(String reason) {
        counters.discoveryCallsFailed++;
        lastCallSucceeded = false;
        failureLog.recordFailure(reason);
    }

    private void recordSuccess() {
        failureLog.recordSuccess();
        lastCallSucceeded = true;
        pacing.recordSuccess();
    }

    /** Processes a response, closes all other streams and sends the next call. */
    private void onResponse(WatchStream stream, DiscoveryResponse response) {
        closeAllExcept(stream);
        if (response.status() != HTTP_OK) {
            // The list and the connection remain usable, but the service is busy, so the call is retried after a delay.
            recordFailure(address + " responded with status " + response.status());
            sendCallAfterDelay(stream, Failure.REJECTED);
            return;
        }
        EndpointList list;
        try {
            list = EndpointListParser.parse(response.body());
        } catch (MalformedEndpointListException e) {
            requestSnapshotAfterFailure(stream, "malformed endpoint list from " + address + ": " + e.getMessage());
            return;
        }
        recordSuccess();
        if (!list.isSnapshot() && list.revision() < revision) {
            // The service was restarted or is another one, so its delta does not apply to the list in use.
            revision = UNKNOWN_REVISION;
            sendCall(stream);
            return;
        }
        try {
            listener.accept(list);
        } catch (RuntimeException e) {
            // The list may have been applied in part, so no revision describes the list in use.
            requestSnapshotAfterFailure(stream, "cannot apply the endpoint list from " + address + ": " + e);
            return;
        }
        revision = list.revision();
        sendCall(stream);
    }

    /** Records a failure and requests the snapshot after a delay; the last list stays in use until then. */
    private void requestSnapshotAfterFailure(WatchStream stream, String reason) {
        revision = UNKNOWN_REVISION;
        recordFailure(reason);
        sendCallAfterDelay(stream, Failure.CONNECTION_LOST);
    }

    /** Closes a failed stream. Replaces the newest stream after a delay; older ones have already been replaced. */
    private void onStreamFailure(WatchStream stream, String reason, Failure failure) {
        boolean isNewest = streams.peekLast() == stream;
        if (!streams.remove(stream)) {
            return;
        }
        stream.close();
        if (isNewest) {
            recordFailure(reason);
            startAfterDelay(failure);
        }
    }

    /** Returns the stream on this connection, or null if the connection is no longer in use. */
    private WatchStream findStream(Connection<?> connection) {
        for (WatchStream stream : streams) {
            if (stream.usesConnection(connection)) {
                return stream;
            }
        }
        return null;
    }

    /** Handles the events of connections, and ignores connections that are no longer in use. */
    private final class ConnectionEvents implements WatchTransport.Listener {
        @Override
        public void onResponse(Connection<?> connection, DiscoveryResponse response) {
            WatchStream stream = findStream(connection);
            if (stream != null) {
                stream.recordResponse(response);
                EndpointWatch.this.onResponse(stream, response);
            }
        }

        @Override
        public void onClose(Connection<?> connection) {
            WatchStream stream = findStream(connection);
            if (stream != null) {
                onStreamFailure(stream, "connection to " + address + " lost", Failure.CONNECTION_LOST);
            }
        }
    }

    /** Handles the events of this watch's streams. */
    private final class StreamEvents implements WatchStream.Listener {
        @Override
        public boolean isInUse(WatchStream stream) {
            return streams.contains(stream);
        }

        @Override
        public void onConnected(WatchStream stream) {
            sendCall(stream);
        }

        @Override
        public void onConnectFailure(WatchStream stream) {
            onStreamFailure(stream, "cannot connect to " + address, Failure.CONNECTION_LOST);
        }

        @Override
        public void onOverdue(WatchStream stream, long pollWaitMicros) {
            if (!pacing.hedgesOverdueCalls()) {
                onStreamFailure(stream, overdueReason(), pacing.timeoutFailure(pollWaitMicros));
            } else if (streams.peekLast() == stream) {
                recordFailure(overdueReason());
                start();
            }
        }

        private String overdueReason() {
            return "no response from " + address + " in time";
        }
    }
}
