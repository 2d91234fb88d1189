package mintstair.pcap;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongUnaryOperator;

/**
 * Keeps what the connections of captures to {@link CaptureFixtures#SERVER_PORT} hold. Captures are read from
 * memory.
 */
final class RecordedFlows implements TcpFlowListener {
    /** One connection. */
    static final class Flow implements TcpFlowHandler {
        final long openedNanos;
        private final ByteArrayOutputStream fromClient = new ByteArrayOutputStream();
        private final ByteArrayOutputStream fromServer = new ByteArrayOutputStream();
        int lostStreams;
        boolean closed;

        Flow(long openedNanos) {
            this.openedNanos = openedNanos;
        }

        @Override
        public void bytesReceived(long timestampNanos, boolean byClient, byte[] bytes, int from, int to) {
            (byClient ? fromClient : fromServer).write(bytes, from, to - from);
        }

        @Override
        public void streamLost(long timestampNanos, boolean byClient) {
            lostStreams++;
        }

        @Override
        public void flowClosed(long timestampNanos) {
            closed = true;
        }

        String clientText() {
            return fromClient.toString(StandardCharsets.US_ASCII);
        }

        String serverText() {
            return fromServer.toString(StandardCharsets.US_ASCII);
        }
    }

    final List<Flow> flows = new ArrayList<>();
    final DropCounters drops = new DropCounters();

    private RecordedFlows() {}

    static RecordedFlows ofCapture(byte[] capture) throws IOException {
        return ofCaptures(List.of(capture));
    }

    /** Reads captures that follow each other. */
    static RecordedFlows ofCaptures(List<byte[]> captures) throws IOException {
        RecordedFlows recorded = new RecordedFlows();
        List<CaptureSource> sources = new ArrayList<>();
        for (byte[] capture : captures) {
            sources.add(() -> new ByteArrayInputStream(capture));
        }
        recorded.newReader().read(sources, false, LongUnaryOperator::identity);
        return recorded;
    }

    /** Reads a capture of these segments in unfragmented IPv4 packets. */
    static RecordedFlows ofSegments(List<byte[]> segments) throws IOException {
        return ofCapture(CaptureFixtures.rawIpPcap(CaptureFixtures.ipv4Packets(segments)));
    }

    static RecordedFlows ofFiles(List<Path> files, boolean merge) throws IOException {
        RecordedFlows recorded = new RecordedFlows();
        recorded.newReader().readFiles(files, merge, LongUnaryOperator::identity);
        return recorded;
    }

    private TcpFlowReader newReader() {
        return new TcpFlowReader(port -> port == CaptureFixtures.SERVER_PORT, this, drops);
    }

    @Override
    public TcpFlowHandler flowOpened(
            long timestampNanos, InetSocketAddress client, InetSocketAddress server, boolean startCaptured) {
        Flow flow = new Flow(timestampNanos);
        flows.add(flow);
        return flow;
    }

    /** What the client of a connection sent; empty where there is no such connection. */
    String clientText(int flow) {
        return flow < flows.size() ? flows.get(flow).clientText() : "";
    }

    /** What the server of a connection sent; empty where there is no such connection. */
    String serverText(int flow) {
        return flow < flows.size() ? flows.get(flow).serverText() : "";
    }
}
