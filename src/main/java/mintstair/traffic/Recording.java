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
import mintstair.pcap.TcpFlowReader;

/** The exchanges of a capture, in one pass: each is given out when its answer is whole, or can't come any more. */
public final class Recording {
    /** What is spoken on a port. */
    public enum Protocol {
        POSTGRESQL,
        MONGODB
    }

    private final Map<Integer, Protocol> ports;
    private final DropCounters losses;
    private final Consumer<RecordedExchange> out;
    private int connections;

    private Recording(Map<Integer, Protocol> ports, DropCounters losses, Consumer<RecordedExchange> out) {
        this.ports = ports;
        this.losses = losses;
        this.out = out;
    }

    /**
     * Reads files that follow each other, as rotated ones do, or, with {@code merge}, lie beside each other, as those of several
     * proxies do. {@code ports} are those that clients connected to. Times are those of {@code lines}, one for all files or, with
     * {@code merge}, one for each. Returns how many connections there were.
     */
    public static int read(
            List<Path> files,
            boolean merge,
            Supplier<TimeLine> lines,
            Map<Integer, Protocol> ports,
            DropCounters losses,
            Consumer<RecordedExchange> out)
            throws IOException {
        Recording all = new Recording(ports, losses, out);
        new TcpFlowReader(ports::containsKey, all::opened, losses).readFiles(files, merge, () -> lines.get()::place);
        return all.connections;
    }

    private TcpFlowHandler opened(long nanos, InetSocketAddress client, InetSocketAddress server, boolean fromStart) {
        int number = connections++;
        ExchangeDecoder talk = ports.get(server.getPort()) == Protocol.MONGODB
                ? new MongoExchangeDecoder(number, losses, out)
                : new PgExchangeDecoder(number, fromStart, losses, out);
        return new TcpFlowHandler() {
            @Override
            public void bytesReceived(long at, boolean byClient, byte[] bytes, int from, int to) {
                talk.said(at, byClient, bytes, from, to);
            }

            @Override
            public void streamLost(long at, boolean byClient) {
                talk.lost(byClient);
            }

            @Override
            public void flowClosed(long at) {
                talk.end();
            }
        };
    }
}
