package mintstair.pcap;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import mintstair.wire.Framer;
import mintstair.wire.MongoFramer;
import mintstair.wire.MongoMessage;
import mintstair.wire.PgFramer;

/** Feeds the requests of a capture to a front, each once and in order, and waits for the answer to each. */
public final class Replay {
    private static final int PATIENCE_MILLIS = 60_000;

    private final InetSocketAddress front;
    private final boolean mongo;
    private final Map<Integer, Client> clients = new HashMap<>();
    private int sent;
    private int answered;

    /** {@code mongo}: the capture and the front speak MongoDB's protocol, else PostgreSQL's. */
    public Replay(InetSocketAddress front, boolean mongo) {
        this.front = front;
        this.mongo = mongo;
    }

    /** One connection of the capture, made again. */
    private final class Client implements AutoCloseable {
        final Socket socket = new Socket();
        final DataInputStream in;
        boolean started = mongo;
        boolean over;

        Client() throws IOException {
            socket.connect(front, PATIENCE_MILLIS);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(PATIENCE_MILLIS);
            in = new DataInputStream(socket.getInputStream());
        }

        /** Sends a message and reads what it is answered with; false where none came, or none is due. */
        boolean ask(byte[] message) throws IOException {
            socket.getOutputStream().write(message);
            if (mongo && (MongoMessage.parse(message).flags() & MongoMessage.MORE_TO_COME) != 0) {
                return false;
            }
            boolean wasStarted = started;
            if (!mongo) {
                return pgAnswer(message, wasStarted);
            }
            byte[] head = in.readNBytes(4);
            if (head.length == 4) {
                in.readNBytes(Integer.reverseBytes(ByteBuffer.wrap(head).getInt()) - 4);
            }
            return head.length == 4;
        }

        /** After a fatal error the front ends a connection: what the capture has after it is not sent. */
        boolean askOrEnd(byte[] message) throws IOException {
            try {
                return ask(message);
            } catch (SocketTimeoutException e) {
                throw e;
            } catch (IOException e) {
                over = true;
                return false;
            }
        }

        private boolean pgAnswer(byte[] message, boolean wasStarted) throws IOException {
            if (!wasStarted && ByteBuffer.wrap(message).getInt(4) >> 16 == 1234) {
                return in.read() >= 0;
            }
            started = true;
            for (int type = in.read(); type >= 0; type = in.read()) {
                in.readNBytes(in.readInt() - 4);
                if (type == 'Z') {
                    return true;
                }
            }
            return false;
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** Plays the capture to its end; returns a line that says what came of it. */
    public String play(Path file, int port) throws IOException {
        Conversations found = Conversations.read(file, port, this::framer);
        try {
            for (Conversations.Sent m : found.messages()) {
                Client client = clients.get(m.connection());
                if (client == null) {
                    client = new Client();
                    clients.put(m.connection(), client);
                }
                boolean goodbye = !mongo && client.started && m.message()[0] == 'X';
                if (!goodbye && !client.over) {
                    sent++;
                    boolean answer = client.askOrEnd(m.message());
                    answered += answer ? 1 : 0;
                }
            }
        } finally {
            for (Client client : clients.values()) {
                client.close();
            }
        }
        return "connections=" + found.connections() + " incomplete=" + found.incomplete() + " sent=" + sent
                + " answered=" + answered;
    }

    private Framer framer() {
        return mongo ? new MongoFramer() : new PgFramer.OfClient();
    }
}
