package mintstair.traffic;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.function.Consumer;
import mintstair.pcap.DropCounters;
import mintstair.wire.Framer;
import mintstair.wire.ProtocolException;

/**
 * Decodes one connection into exchanges: requests wait for their responses as the protocol matches them. Where a
 * direction can't be decoded any more, it ends, and pending requests are given out without a response. So is the
 * oldest where more are pending than a front allows. Not safe for use by several threads.
 */
abstract class ExchangeDecoder {
    private static final int MAX_PENDING_REQUESTS = 1_024;

    private final int connection;
    private final DropCounters drops;
    private final Consumer<RecordedExchange> output;
    private final Framer clientFramer;
    private final Framer serverFramer;
    private final Deque<PendingRequest> pending = new ArrayDeque<>();
    private boolean clientEnded;
    private boolean serverEnded;

    /**
     * Creates a decoder.
     *
     * @param connection the number that exchanges have
     * @param clientFramer splits what the client sends into messages
     * @param serverFramer splits what the server sends into messages
     * @param output takes each exchange once it is complete
     */
    ExchangeDecoder(
            int connection,
            Framer clientFramer,
            Framer serverFramer,
            DropCounters drops,
            Consumer<RecordedExchange> output) {
        this.connection = connection;
        this.clientFramer = clientFramer;
        this.serverFramer = serverFramer;
        this.drops = drops;
        this.output = output;
    }

    /** Creates the decoder of a protocol; see the constructor. */
    static ExchangeDecoder create(
            Recording.Protocol protocol,
            int connection,
            boolean fromStart,
            DropCounters drops,
            Consumer<RecordedExchange> output) {
        return switch (protocol) {
            case POSTGRESQL -> new PgExchangeDecoder(connection, fromStart, drops, output);
            case MONGODB -> new MongoExchangeDecoder(connection, drops, output);
        };
    }

    /** A whole message of the client. */
    protected abstract void onClientMessage(long timestampNanos, byte[] message);

    /** A whole message of the server, or a part of a long one. */
    protected abstract void onServerMessage(long timestampNanos, byte[] message);

    /** Completes requests whose response was whole, though the connection ended with it. */
    protected void onEnd() {}

    /** Takes the next bytes of a direction, {@code from} to {@code to - 1} of the array. */
    final void feed(long timestampNanos, boolean fromClient, byte[] bytes, int from, int to) {
        if (fromClient ? clientEnded : serverEnded) {
            return;
        }
        Framer framer = fromClient ? clientFramer : serverFramer;
        framer.feed(ByteBuffer.wrap(bytes, from, to - from));
        try {
            for (byte[] message = framer.next(); message != null; message = framer.next()) {
                if (fromClient) {
                    onClientMessage(timestampNanos, message);
                } else {
                    onServerMessage(timestampNanos, message);
                }
            }
        } catch (ProtocolException e) {
            drops.count(DropCounters.Reason.NO_MESSAGE);
            streamLost(fromClient);
        }
    }

    /** A direction can't be followed any more. */
    final void streamLost(boolean fromClient) {
        if (fromClient) {
            clientEnded = true;
            return;
        }
        serverEnded = true;
        // Which response belongs to which request is unknown from here on.
        completeAllWithoutResponse();
    }

    /** The connection ended. */
    final void end() {
        if (!serverEnded) {
            onEnd();
        }
        completeAllWithoutResponse();
        clientEnded = true;
        serverEnded = true;
    }

    private void completeAllWithoutResponse() {
        for (PendingRequest request : pending) {
            complete(request, ExchangeResponse.NONE);
        }
        pending.clear();
    }

    /** Adds a request, or a command that has a response but gives no exchange. */
    protected final void addPending(PendingRequest request) {
        if (pending.size() >= MAX_PENDING_REQUESTS) {
            complete(pending.remove(), ExchangeResponse.NONE);
        }
        pending.add(request);
    }

    /** Removes and returns the oldest pending request, or null. */
    protected final PendingRequest removeOldestPending() {
        return pending.poll();
    }

    /** Removes and returns the pending request of this id, or null. */
    protected final PendingRequest removePending(int requestId) {
        for (Iterator<PendingRequest> requests = pending.iterator(); requests.hasNext(); ) {
            PendingRequest request = requests.next();
            if (request.requestId() == requestId) {
                requests.remove();
                return request;
            }
        }
        return null;
    }

    /** Gives out the exchange of a request that is not pending any more. */
    protected final void complete(PendingRequest request, ExchangeResponse response) {
        if (request.comment().isRequest()) {
            output.accept(request.complete(connection, response));
        }
    }
}
