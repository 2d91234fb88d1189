package mintstair.pcap;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntPredicate;
import java.util.function.LongUnaryOperator;
import java.util.function.Supplier;

/**
 * Reads the TCP connections of captures to some server ports, both directions, in one pass and bounded memory: of
 * too many open connections the least recently used is given up, of too many bytes out of order the stream that
 * buffers most. Reads once; the listener is called on the reading thread.
 */
public final class TcpFlowReader {
    private static final int MAX_FLOWS = 20_000;
    private static final long MAX_BUFFERED_BYTES = 64L << 20;

    private final IntPredicate isServerPort;
    private final TcpFlowListener listener;
    private final DropCounters drops;
    private final IpReassembler ipReassembler;
    /** In the order of their last segments. */
    private final Map<TcpFlow.Endpoints, TcpFlow> flows = new LinkedHashMap<>(16, 0.75f, true);

    private long bufferedBytes;

    /**
     * Creates a reader.
     *
     * @param isServerPort which ports clients connected to
     * @param drops counts what can't be used
     */
    public TcpFlowReader(IntPredicate isServerPort, TcpFlowListener listener, DropCounters drops) {
        this.isServerPort = isServerPort;
        this.listener = listener;
        this.drops = drops;
        ipReassembler = new IpReassembler(drops);
    }

    /**
     * Reads files to their ends.
     *
     * @param merge whether frames of all files are read in the order of their timestamps; else one file after the
     *     other
     * @param clocks maps recorded timestamps to those that are reported, in Unix nanoseconds: one for all files, or
     *     one for
     *     each file that is merged
     * @throws MalformedCaptureException where a file is no capture; one that is damaged further on only ends there
     */
    public void readFiles(List<Path> files, boolean merge, Supplier<LongUnaryOperator> clocks) throws IOException {
        read(files.stream().map(CaptureSource::ofFile).toList(), merge, clocks);
    }

    /** Reads captures as {@link #readFiles} reads files. */
    void read(List<CaptureSource> captures, boolean merge, Supplier<LongUnaryOperator> clocks) throws IOException {
        long lastTimestampNanos = 0;
        try (FrameStream frames = new FrameStream(captures, merge, clocks, drops)) {
            for (CapturedFrame frame = frames.next(); frame != null; frame = frames.next()) {
                lastTimestampNanos = frame.timestampNanos();
                TcpSegment segment = segmentIn(frame);
                if (segment != null) {
                    accept(segment);
                }
            }
        }
        ipReassembler.finish();
        for (TcpFlow flow : flows.values()) {
            flow.close(lastTimestampNanos);
        }
    }

    private TcpSegment segmentIn(CapturedFrame frame) {
        if (!LinkLayer.isSupported(frame.linkType())) {
            drops.count(DropCounters.Reason.UNKNOWN_LINK);
            return null;
        }
        ByteBuffer packet = ipPacketIn(frame);
        if (packet == null) {
            drops.count(DropCounters.Reason.NOT_TCP);
            return null;
        }
        return ipReassembler.accept(frame.timestampNanos(), packet);
    }

    private static ByteBuffer ipPacketIn(CapturedFrame frame) {
        try {
            return LinkLayer.ipPacket(frame.linkType(), frame.data());
        } catch (IndexOutOfBoundsException e) {
            // A frame that ends within its headers is counted like one without an IP packet.
            return null;
        }
    }

    private void accept(TcpSegment segment) {
        InetSocketAddress source = segment.source();
        InetSocketAddress destination = segment.destination();
        boolean fromClient = isServerPort.test(destination.getPort());
        if (!fromClient && !isServerPort.test(source.getPort())) {
            return;
        }
        TcpFlow.Endpoints endpoints =
                fromClient ? new TcpFlow.Endpoints(source, destination) : new TcpFlow.Endpoints(destination, source);
        TcpFlow flow = flowOf(endpoints, segment, fromClient);
        if (flow == null) {
            return;
        }
        int bufferedBefore = flow.bufferedBytes();
        flow.accept(segment, fromClient);
        bufferedBytes += flow.bufferedBytes() - bufferedBefore;
        if (bufferedBytes > MAX_BUFFERED_BYTES) {
            abortLargestStream(segment.timestampNanos());
        }
        flow.reportLosses(segment.timestampNanos());
        flow.recordFin(segment, fromClient);
        if (segment.has(TcpSegment.RST) || flow.isFinished()) {
            remove(flow, segment.timestampNanos());
        }
    }

    /** The connection of a segment, a new one where it begins one; null where there is none to follow. */
    private TcpFlow flowOf(TcpFlow.Endpoints endpoints, TcpSegment segment, boolean fromClient) {
        TcpFlow flow = flows.get(endpoints);
        if (flow != null && !flow.isRestart(segment, fromClient)) {
            return flow;
        }
        if (flow != null) {
            remove(flow, segment.timestampNanos());
        }
        boolean hasNothingToFollow = segment.payload().length == 0 && !segment.has(TcpSegment.SYN);
        if (segment.has(TcpSegment.RST) || hasNothingToFollow) {
            return null;
        }
        TcpFlow opened = new TcpFlow(endpoints, listener, drops);
        flows.put(endpoints, opened);
        if (flows.size() > MAX_FLOWS) {
            drops.count(DropCounters.Reason.TOO_MANY);
            TcpFlow leastRecentlyUsed = flows.values().iterator().next();
            remove(leastRecentlyUsed, segment.timestampNanos());
        }
        return opened;
    }

    private void abortLargestStream(long timestampNanos) {
        TcpFlow largest = null;
        for (TcpFlow flow : flows.values()) {
            if (largest == null || flow.bufferedBytes() > largest.bufferedBytes()) {
                largest = flow;
            }
        }
        if (largest == null) {
            return;
        }
        int bufferedBefore = largest.bufferedBytes();
        largest.abortLargerStream(DropCounters.Reason.ALL_FULL);
        bufferedBytes += largest.bufferedBytes() - bufferedBefore;
        largest.reportLosses(timestampNanos);
    }

    private void remove(TcpFlow flow, long timestampNanos) {
        flows.remove(flow.endpoints(), flow);
        bufferedBytes -= flow.bufferedBytes();
        flow.close(timestampNanos);
    }
}
