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
 * Keeps the endpoint list of one discovery service current: one call for the snapshot, then one long poll for deltas
 * after the other. The service keeps deltas for 200 ms after a response, so the next poll is sent at once.
 *
 * <p>This class supervises the {@link WatchStream}s that the calls are made on. A stream whose response is overdue,
 * whose connection fails or whose response is malformed is replaced, with the delay that {@link WatchPacing} sets.
 * Where the pacing hedges overdue calls, a further stream is opened beside the overdue one and the first to respond is
 * kept.
 *
 * <p>Every method, the constructor aside, must be called on the event loop, on which the listener is called too.
 */
public final class EndpointWatch {
    private static final int HTTP_OK = 200;
    /**
     * The revision while no list is known, or none that deltas could be applied to: the next call is for the snapshot.
     */
    private static final long UNKNOWN_REVISION = -1;

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final WatchTransport transport;
    private final Consumer<EndpointList> listener;
    private final Counters counters;
    private final WatchFailureLog failureLog;
    /** Streams whose response would still be used, oldest first. */
    private final ArrayDeque<WatchStream> streams = new ArrayDeque<>();

    private WatchPacing pacing;
    private long revision;
    private boolean lastCallSucceeded;
    private Future<?> delayedStart;
    private boolean closed;

    /**
     * @param revision the revision that deltas are requested from; below 0 for none, which requests the snapshot
     * @param listener receives each list; where it throws, the snapshot is requested again
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

    /** Opens a stream, and closes the oldest where as many as the pacing allows are in flight. */
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

    /** Applies this pacing from now on; a call that is in flight becomes overdue no later than under this pacing. */
    public void setPacing(WatchPacing changed) {
        pacing = changed;
        WatchStream newest = streams.peekLast();
        if (newest != null) {
            long waitMicros = pacing.pollWaitMicros(lastCallSucceeded);
            newest.advanceTimeout(waitMicros, pacing.responseTimeoutMicros(waitMicros));
        }
    }

    /** Ends the watch for good: closes its connections; the listener is not called any more. */
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

    /** Sends the next call on this stream, or on a new one where the last response ended its connection. */
    private void sendCall(WatchStream stream) {
        if (stream.isFinished()) {
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
        failureLog.record(reason);
    }

    private void recordSuccess() {
        failureLog.recordRecovery();
        lastCallSucceeded = true;
        pacing.recordSuccess();
    }

    /** Uses one response and goes on with the next call; its stream is the only one from here on. */
    private void onResponse(WatchStream stream, DiscoveryResponse response) {
        closeAllExcept(stream);
        if (response.status() != HTTP_OK) {
            // The list and the connection are as good as before, but the service is busy: the retry is delayed.
            recordFailure("status " + response.status());
            sendCallAfterDelay(stream, Failure.REJECTED);
            return;
        }
        EndpointList list;
        try {
            list = EndpointListParser.parse(response.body());
        } catch (MalformedEndpointListException e) {
            requestSnapshotAfterFailure(stream, e.getMessage());
            return;
        }
        recordSuccess();
        if (!list.isSnapshot() && list.revision() < revision) {
            // Another service, or one that was restarted: its delta does not apply to this list.
            revision = UNKNOWN_REVISION;
            sendCall(stream);
            return;
        }
        try {
            listener.accept(list);
        } catch (RuntimeException e) {
            // The list may have been applied in part, so that no revision stands for what is known now.
            requestSnapshotAfterFailure(stream, String.valueOf(e));
            return;
        }
        revision = list.revision();
        sendCall(stream);
    }

    /** Keeps the last list, but makes the next call one for the snapshot. */
    private void requestSnapshotAfterFailure(WatchStream stream, String reason) {
        revision = UNKNOWN_REVISION;
        recordFailure(reason);
        sendCallAfterDelay(stream, Failure.CONNECTION_LOST);
    }

    /** Closes a stream that failed. The newest is replaced after a delay; older ones already have been. */
    private void onStreamFailure(WatchStream stream, String reason, Failure failure) {
        boolean newest = streams.peekLast() == stream;
        if (!streams.remove(stream)) {
            return;
        }
        stream.close();
        if (newest) {
            recordFailure(reason);
            startAfterDelay(failure);
        }
    }

    private WatchStream streamOn(Connection<?> connection) {
        for (WatchStream stream : streams) {
            if (stream.isOn(connection)) {
                return stream;
            }
        }
        return null;
    }

    /** What happens on connections; events of one that is not in use any more are ignored. */
    private final class ConnectionEvents implements WatchTransport.Listener {
        @Override
        public void onResponse(Connection<?> connection, DiscoveryResponse response) {
            WatchStream stream = streamOn(connection);
            if (stream != null) {
                stream.recordResponse(response);
                EndpointWatch.this.onResponse(stream, response);
            }
        }

        @Override
        public void onClose(Connection<?> connection) {
            WatchStream stream = streamOn(connection);
            if (stream != null) {
                onStreamFailure(stream, "connection lost", Failure.CONNECTION_LOST);
            }
        }
    }

    /** What becomes of the streams that this watch opens. */
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
                onStreamFailure(stream, "response overdue", pacing.timeoutFailure(pollWaitMicros));
            } else if (streams.peekLast() == stream) {
                recordFailure("response overdue");
                start();
            }
        }
    }
}
