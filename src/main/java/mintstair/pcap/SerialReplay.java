package mintstair.pcap;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import mintstair.pcap.ClientMessages.ClientMessage;
import mintstair.wire.Framer;
import mintstair.wire.MongoFramer;
import mintstair.wire.PgFramer;

/**
 * Sends the messages of a capture to a front, each once and in the order in which they were captured, and waits for
 * the reply to each. For one thread, once.
 */
public final class SerialReplay {
    /**
     * What came of a replay.
     *
     * @param connections of the capture
     * @param incomplete connections of which some captured bytes are no whole message
     * @param sent messages
     * @param answered messages that had a reply
     */
    public record Result(int connections, int incomplete, int sent, int answered) {
        /** One line for the operator. */
        @Override
        public String toString() {
            return "connections=" + connections + " incomplete=" + incomplete + " sent=" + sent + " answered="
                    + answered;
        }
    }

    /** A connection to the front, which speaks one protocol. */
    interface Session extends Closeable {
        /** Whether the message ends the connection without a reply. */
        boolean isGoodbye(byte[] message);

        /** Sends a message and reads its reply; returns false where none came, or none is due. */
        boolean exchange(byte[] message) throws IOException;
    }

    /** A connection of the capture. */
    private static final class ReplayedConnection {
        final Session session;
        boolean ended;

        ReplayedConnection(Session session) {
            this.session = session;
        }

        /** After a fatal error the front ends a connection: what the capture has after that is not sent. */
        boolean exchangeOrEnd(byte[] message) throws IOException {
            try {
                return session.exchange(message);
            } catch (SocketTimeoutException e) {
                throw e;
            } catch (IOException e) {
                ended = true;
                return false;
            }
        }
    }

    private final InetSocketAddress front;
    private final boolean mongo;
    private final Map<Integer, ReplayedConnection> connections = new HashMap<>();

    /**
     * Creates a replay.
     *
     * @param mongo whether the capture and the front speak MongoDB's protocol; else PostgreSQL's
     */
    public SerialReplay(InetSocketAddress front, boolean mongo) {
        this.front = front;
        this.mongo = mongo;
    }

    /**
     * Plays the capture to its end.
     *
     * @param port the port that the captured clients connected to
     * @throws IOException where the capture can't be read, or the front can't be reached or does not reply in time
     */
    public Result play(Path file, int port) throws IOException {
        ClientMessages captured = ClientMessages.read(file, port, this::newFramer);
        int sent = 0;
        int answered = 0;
        try {
            for (ClientMessage message : captured.messages()) {
                ReplayedConnection connection = connectionOf(message);
                if (connection.ended || connection.session.isGoodbye(message.bytes())) {
                    continue;
                }
                sent++;
                if (connection.exchangeOrEnd(message.bytes())) {
                    answered++;
                }
            }
        } finally {
            closeAll();
        }
        return new Result(captured.connections(), captured.incompleteConnections(), sent, answered);
    }

    private ReplayedConnection connectionOf(ClientMessage message) throws IOException {
        ReplayedConnection connection = connections.get(message.connection());
        if (connection == null) {
            connection = new ReplayedConnection(connect());
            connections.put(message.connection(), connection);
        }
        return connection;
    }

    private Session connect() throws IOException {
        return mongo ? new MongoReplaySession(front) : new PgReplaySession(front);
    }

    private void closeAll() throws IOException {
        for (ReplayedConnection connection : connections.values()) {
            connection.session.close();
        }
    }

    private Framer newFramer() {
        return mongo ? new MongoFramer() : new PgFramer.ClientMessageFramer();
    }
}
