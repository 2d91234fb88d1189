package mintstair.pcap;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongUnaryOperator;
import java.util.function.Supplier;
import mintstair.wire.Framer;
import mintstair.wire.ProtocolException;

/** The messages that clients sent to one port, as a capture shows them: whole ones, in the order they were whole. */
public final class Conversations {
    /** One message and the connection it came on, numbered by first sight. */
    public record Sent(int connection, byte[] message) {}

    private final List<Sent> messages = new ArrayList<>();
    private final Supplier<Framer> framers;
    private int connections;
    private int incomplete;

    /** One client's connection. */
    private final class Client implements Connections.Connection {
        private final int number = connections++;
        private final Framer framer = framers.get();
        private boolean broken;

        @Override
        public void said(long nanos, boolean byClient, byte[] bytes, int from, int to) {
            if (!byClient || broken) {
                return;
            }
            framer.feed(ByteBuffer.wrap(bytes, from, to - from));
            try {
                for (byte[] m = framer.next(); m != null; m = framer.next()) {
                    messages.add(new Sent(number, m));
                }
            } catch (ProtocolException e) {
                // What follows cannot be told apart any more; what came before stands.
                broken = true;
            }
        }

        @Override
        public void lost(long nanos, boolean byClient) {
            broken |= byClient;
        }

        @Override
        public void ended(long nanos) {
            incomplete += broken || framer.pending() > 0 ? 1 : 0;
        }
    }

    private Conversations(Supplier<Framer> framers) {
        this.framers = framers;
    }

    /** Reads a capture; {@code port} is the one that the clients connected to. */
    public static Conversations read(Path file, int port, Supplier<Framer> framers) throws IOException {
        Conversations found = new Conversations(framers);
        Connections.read(
                List.of(file), false, LongUnaryOperator::identity, at -> at == port, found::opened, new Losses());
        return found;
    }

    private Connections.Connection opened(
            long nanos, InetSocketAddress client, InetSocketAddress server, boolean fromStart) {
        return new Client();
    }

    public List<Sent> messages() {
        return messages;
    }

    public int connections() {
        return connections;
    }

    /** Connections of which something captured is no whole message. */
    public int incomplete() {
        return incomplete;
    }
}
