package mintstair.traffic;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;
import mintstair.pcap.DropCounters;
import mintstair.pcap.TcpFlowHandler;
import mintstair.pcap.TcpFlowListener;
import mintstair.pcap.TcpFlowReader;

/**
 * Reads the exchanges of captures in one pass: each is given out when its response is whole, or can't come any
 * more.
 */
public final class Recording {
    /** What clients speak to a port. Operators give these names on the command line. */
    public enum Protocol {
        /** PostgreSQL's protocol, version 3. */
        POSTGRESQL,
        /** MongoDB's wire protocol. */
        MONGODB
    }

    private Recording() {}

    /**
     * Reads captures to their ends.
     *
     * @param files that follow each other, as rotated ones do
     * @param merge whether the files lie beside each other instead, as those of several proxies do
     * @param timeLines one for all files, or one for each file that is merged; exchanges have their times
     * @param ports the ports that clients connected to, and what they speak
     * @param drops counts what can't be used
     * @param output takes each exchange
     * @return how many connections there were
     * @throws IOException where a file can't be read, or is no capture
     */
    public static int read(
            List<Path> files,
            boolean merge,
            Supplier<TimeLine> timeLines,
            Map<Integer, Protocol> ports,
            DropCounters drops,
            Consumer<RecordedExchange> output)
            throws IOException {
        ConnectionDecoders decoders = new ConnectionDecoders(ports, drops, output);
        TcpFlowReader reader = new TcpFlowReader(ports::containsKey, decoders, drops);
        reader.readFiles(files, merge, () -> timeLines.get()::toMonotonic);
        return decoders.connections;
    }

    /** Gives each connection a decoder and a number. */
    private static final class ConnectionDecoders implements TcpFlowListener {
        private final Map<Integer, Protocol> ports;
        private final DropCounters drops;
        private final Consumer<RecordedExchange> output;
        private int connections;

        ConnectionDecoders(Map<Integer, Protocol> ports, DropCounters drops, Consumer<RecordedExchange> output) {
            this.ports = ports;
            this.drops = drops;
            this.output = output;
        }

        @Override
        public TcpFlowHandler flowOpened(
                long timestampNanos, InetSocketAddress client, InetSocketAddress server, boolean startCaptured) {
            Protocol protocol = ports.get(server.getPort());
            int connection = connections++;
            return new DecodedConnection(ExchangeDecoder.create(protocol, connection, startCaptured, drops, output));
        }
    }

    private record DecodedConnection(ExchangeDecoder decoder) implements TcpFlowHandler {
        @Override
        public void bytesReceived(long timestampNanos, boolean fromClient, byte[] bytes, int from, int to) {
            decoder.feed(timestampNanos, fromClient, bytes, from, to);
        }

        @Override
        public void streamLost(long timestampNanos, boolean fromClient) {
            decoder.streamLost(fromClient);
        }

        @Override
        public void flowClosed(long timestampNanos) {
            decoder.end();
        }
    }
}
