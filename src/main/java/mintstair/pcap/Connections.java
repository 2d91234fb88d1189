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
 * The TCP connections of a capture to some ports, both directions put together, in one pass and bounded memory: a number of
 * connections, of which the longest quiet one gives way, and of bytes that wait for gaps to close.
 */
public final class Connections {
    private static final int MOST_CONNECTIONS = 20_000;
    private static final long MOST_HELD = 64L << 20;

    /** Is told of connections as the capture shows them. */
    public interface Listener {
        /** A connection; {@code fromStart} where the capture has its beginning. */
        Connection opened(long nanos, InetSocketAddress client, InetSocketAddress server, boolean fromStart);
    }

    /** One connection. */
    public interface Connection {
        /** Bytes of one direction, in order. */
        void said(long nanos, boolean byClient, byte[] bytes, int from, int to);

        /** That direction can't be followed any more, though the connection may go on. */
        void lost(long nanos, boolean byClient);

        /** The connection is over: closed, reset, or out of the capture. */
        void ended(long nanos);
    }

    private record Ports(InetSocketAddress client, InetSocketAddress server) {}

    /** What is known of one connection. */
    private final class Tracked {
        final Ports ports;
        final StreamHalf fromClient;
        final StreamHalf fromServer;
        Connection to;
        boolean clientDone;
        boolean serverDone;
        boolean clientLost;
        boolean serverLost;

        Tracked(Ports ports) {
            this.ports = ports;
            fromClient = new StreamHalf((nanos, bytes, from, until) -> said(nanos, true, bytes, from, until), losses);
            fromServer = new StreamHalf((nanos, bytes, from, until) -> said(nanos, false, bytes, from, until), losses);
        }

        private void said(long nanos, boolean byClient, byte[] bytes, int from, int until) {
            open(nanos);
            to.said(nanos, byClient, bytes, from, until);
        }

        private void open(long nanos) {
            if (to == null) {
                to = listener.opened(nanos, ports.client, ports.server, fromClient.sawStart());
            }
        }

        int held() {
            return fromClient.held() + fromServer.held();
        }

        void tellLost(long nanos) {
            if (to != null && fromClient.isOver() && !clientLost && !clientDone) {
                clientLost = true;
                to.lost(nanos, true);
            }
            if (to != null && fromServer.isOver() && !serverLost && !serverDone) {
                serverLost = true;
                to.lost(nanos, false);
            }
        }

        void end(long nanos) {
            held -= held();
            boolean clientGap = fromClient.end();
            boolean serverGap = fromServer.end();
            if (to != null) {
                if (clientGap) {
                    to.lost(nanos, true);
                }
                if (serverGap) {
                    to.lost(nanos, false);
                }
                to.ended(nanos);
            }
        }
    }

    private final IntPredicate isServerPort;
    private final Listener listener;
    private final Losses losses;
    private final Map<Ports, Tracked> open = new LinkedHashMap<>(16, 0.75f, true);
    private long held;
    private long newest;

    private Connections(IntPredicate isServerPort, Listener listener, Losses losses) {
        this.isServerPort = isServerPort;
        this.listener = listener;
        this.losses = losses;
    }

    /**
     * Reads the files once, one after the other or merged by time; {@code clocks} gives the time line that recorded times are placed
     * on. {@code isServerPort} says which ports were connected to. What was lost is counted.
     */
    public static void read(
            List<Path> files,
            boolean merge,
            Supplier<LongUnaryOperator> clocks,
            IntPredicate isServerPort,
            Listener listener,
            Losses losses)
            throws IOException {
        List<CaptureSource> sources = files.stream().map(CaptureSource::ofFile).toList();
        readSources(sources, merge, clocks, isServerPort, listener, losses);
    }

    /** Reads captures, of memory too, as {@link #read} reads files. */
    static void readSources(
            List<CaptureSource> sources,
            boolean merge,
            Supplier<LongUnaryOperator> clocks,
            IntPredicate isServerPort,
            Listener listener,
            Losses losses)
            throws IOException {
        Connections all = new Connections(isServerPort, listener, losses);
        IpPackets packets = new IpPackets(losses);
        try (FrameStream in = new FrameStream(sources, merge, clocks, losses)) {
            for (Capture.Frame frame = in.next(); frame != null; frame = in.next()) {
                all.newest = frame.nanos();
                Segment segment = all.segment(frame, packets);
                if (segment != null) {
                    all.take(segment);
                }
            }
        }
        packets.end();
        all.open.values().forEach(t -> t.end(all.newest));
    }

    private Segment segment(Capture.Frame frame, IpPackets packets) {
        if (!Link.isKnown(frame.linkType())) {
            losses.count(Losses.Reason.UNKNOWN_LINK);
            return null;
        }
        try {
            ByteBuffer ip = Link.ip(frame.linkType(), frame.data());
            if (ip == null) {
                losses.count(Losses.Reason.NOT_TCP);
                return null;
            }
            return packets.take(frame.nanos(), ip);
        } catch (IndexOutOfBoundsException e) {
            losses.count(Losses.Reason.NOT_TCP);
            return null;
        }
    }

    private void take(Segment s) {
        boolean byClient = isServerPort.test(s.to().getPort());
        if (!byClient && !isServerPort.test(s.from().getPort())) {
            return;
        }
        Ports ports = byClient ? new Ports(s.from(), s.to()) : new Ports(s.to(), s.from());
        Tracked t = open.get(ports);
        if (t != null && (byClient ? t.fromClient : t.fromServer).isRestart(s)) {
            close(t, s.nanos());
            t = null;
        }
        if (t == null) {
            if (s.has(Segment.RST) || s.payload().length == 0 && !s.has(Segment.SYN)) {
                return;
            }
            t = new Tracked(ports);
            open.put(ports, t);
            makeRoom(s.nanos());
        }
        StreamHalf half = byClient ? t.fromClient : t.fromServer;
        StreamHalf other = byClient ? t.fromServer : t.fromClient;
        int before = t.held();
        half.take(s);
        if (s.has(Segment.ACK)) {
            other.acknowledged(s.ack());
        }
        held += t.held() - before;
        if (held > MOST_HELD) {
            fullest(s.nanos());
        }
        t.tellLost(s.nanos());
        t.clientDone |= byClient && s.has(Segment.FIN);
        t.serverDone |= !byClient && s.has(Segment.FIN);
        if (s.has(Segment.RST) || t.clientDone && t.serverDone && t.held() == 0) {
            close(t, s.nanos());
        }
    }

    private void makeRoom(long nanos) {
        if (open.size() > MOST_CONNECTIONS) {
            losses.count(Losses.Reason.TOO_MANY);
            close(open.values().iterator().next(), nanos);
        }
    }

    /** The one that holds the most for gaps to close gives way. */
    private void fullest(long nanos) {
        Tracked most = null;
        for (Tracked t : open.values()) {
            most = most == null || t.held() > most.held() ? t : most;
        }
        if (most != null) {
            int before = most.held();
            (most.fromClient.held() > most.fromServer.held() ? most.fromClient : most.fromServer)
                    .stop(Losses.Reason.ALL_FULL);
            held += most.held() - before;
            most.tellLost(nanos);
        }
    }

    private void close(Tracked t, long nanos) {
        open.remove(t.ports, t);
        t.end(nanos);
    }
}
