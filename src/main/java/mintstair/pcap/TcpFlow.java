package mintstair.pcap;

import java.net.InetSocketAddress;

/** One TCP connection of a capture: both directions, and what its handler was notified of. */
final class TcpFlow {
    /** Which side is the client is known from the server's port. */
    record Endpoints(InetSocketAddress client, InetSocketAddress server) {}

    /** One direction. */
    private final class Direction {
        final boolean fromClient;
        final TcpStreamReassembler stream;
        boolean finSeen;
        boolean lossReported;

        Direction(boolean fromClient, DropCounters drops) {
            this.fromClient = fromClient;
            stream = new TcpStreamReassembler(
                    (nanos, bytes, from, to) -> openedHandler(nanos).bytesReceived(nanos, fromClient, bytes, from, to),
                    drops);
        }

        void reportLoss(long timestampNanos) {
            if (handler != null && stream.isEnded() && !lossReported && !finSeen) {
                lossReported = true;
                handler.streamLost(timestampNanos, fromClient);
            }
        }
    }

    private final Endpoints endpoints;
    private final TcpFlowListener listener;
    private final Direction clientToServer;
    private final Direction serverToClient;
    /** Null until there are bytes to deliver. */
    private TcpFlowHandler handler;

    TcpFlow(Endpoints endpoints, TcpFlowListener listener, DropCounters drops) {
        this.endpoints = endpoints;
        this.listener = listener;
        clientToServer = new Direction(true, drops);
        serverToClient = new Direction(false, drops);
    }

    Endpoints endpoints() {
        return endpoints;
    }

    private Direction direction(boolean fromClient) {
        return fromClient ? clientToServer : serverToClient;
    }

    private TcpFlowHandler openedHandler(long timestampNanos) {
        if (handler == null) {
            handler = listener.flowOpened(
                    timestampNanos, endpoints.client, endpoints.server, clientToServer.stream.isStartCaptured());
        }
        return handler;
    }

    /** Whether this segment is the SYN of a new connection on the same ports. */
    boolean isRestart(TcpSegment segment, boolean fromClient) {
        return direction(fromClient).stream.isRestart(segment);
    }

    void accept(TcpSegment segment, boolean fromClient) {
        direction(fromClient).stream.accept(segment);
        if (segment.has(TcpSegment.ACK)) {
            direction(!fromClient).stream.acknowledge(segment.acknowledgment());
        }
    }

    /** Bytes that wait in both directions for gaps to close. */
    int bufferedBytes() {
        return clientToServer.stream.bufferedBytes() + serverToClient.stream.bufferedBytes();
    }

    /** Ends the direction that buffers more. */
    void abortLargerStream(DropCounters.Reason reason) {
        boolean clientIsLarger = clientToServer.stream.bufferedBytes() > serverToClient.stream.bufferedBytes();
        direction(clientIsLarger).stream.abort(reason);
    }

    /** Notifies the handler of directions that ended before their FIN, once each. */
    void reportLosses(long timestampNanos) {
        clientToServer.reportLoss(timestampNanos);
        serverToClient.reportLoss(timestampNanos);
    }

    /** Remembers the FIN of a segment that was accepted. */
    void recordFin(TcpSegment segment, boolean fromClient) {
        direction(fromClient).finSeen |= segment.has(TcpSegment.FIN);
    }

    /** Whether both directions had their FIN, and nothing waits for a gap to close. */
    boolean isFinished() {
        return clientToServer.finSeen && serverToClient.finSeen && bufferedBytes() == 0;
    }

    /** Ends both directions; what they buffer is dropped. */
    void close(long timestampNanos) {
        boolean clientGap = clientToServer.stream.finish();
        boolean serverGap = serverToClient.stream.finish();
        if (handler == null) {
            return;
        }
        if (clientGap) {
            handler.streamLost(timestampNanos, true);
        }
        if (serverGap) {
            handler.streamLost(timestampNanos, false);
        }
        handler.flowClosed(timestampNanos);
    }
}
