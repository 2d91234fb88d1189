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

/**
 * The messages that clients sent to one port of a capture: whole ones, in the order in which they became whole.
 *
 * @param messages all of them
 * @param connections how many connections they came on
 * @param incompleteConnections connections of which some captured bytes are no whole message
 */
public record ClientMessages(List<ClientMessage> messages, int connections, int incompleteConnections) {
    /**
     * One message.
     *
     * @param connection the connection it came on; connections are numbered from 0 in the order of their first
     *     bytes
     */
    public record ClientMessage(int connection, byte[] bytes) {}

    /**
     * Reads a capture.
     *
     * @param port the port that clients connected to
     * @param framers splits what a client sent into messages; called for each connection
     * @throws MalformedCaptureException where the file is no capture
     */
    public static ClientMessages read(Path file, int port, Supplier<Framer> framers) throws IOException {
        Collector collector = new Collector(framers);
        TcpFlowReader reader = new TcpFlowReader(candidate -> candidate == port, collector, new DropCounters());
        reader.readFiles(List.of(file), false, LongUnaryOperator::identity);
        return new ClientMessages(
                List.copyOf(collector.messages), collector.connections, collector.incompleteConnections);
    }

    private static final class Collector implements TcpFlowListener {
        private final Supplier<Framer> framers;
        private final List<ClientMessage> messages = new ArrayList<>();
        private int connections;
        private int incompleteConnections;

        Collector(Supplier<Framer> framers) {
            this.framers = framers;
        }

        @Override
        public TcpFlowHandler flowOpened(
                long timestampNanos, InetSocketAddress client, InetSocketAddress server, boolean startCaptured) {
            return new ClientStream(connections++);
        }

        /** What one client sent. */
        private final class ClientStream implements TcpFlowHandler {
            private final int connection;
            private final Framer framer = framers.get();
            private boolean broken;

            ClientStream(int connection) {
                this.connection = connection;
            }

            @Override
            public void bytesReceived(long timestampNanos, boolean fromClient, byte[] bytes, int from, int to) {
                if (!fromClient || broken) {
                    return;
                }
                framer.feed(ByteBuffer.wrap(bytes, from, to - from));
                try {
                    for (byte[] message = framer.next(); message != null; message = framer.next()) {
                        messages.add(new ClientMessage(connection, message));
                    }
                } catch (ProtocolException e) {
                    // Where the next message begins is unknown from here on; the messages before are valid.
                    broken = true;
                }
            }

            @Override
            public void streamLost(long timestampNanos, boolean fromClient) {
                broken |= fromClient;
            }

            @Override
            public void flowClosed(long timestampNanos) {
                if (broken || framer.pending() > 0) {
                    incompleteConnections++;
                }
            }
        }
    }
}
