package mintstair.pcap;

import java.nio.ByteBuffer;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * One direction of one TCP connection, put together from segments in any order, some more than once. What is
 * missing for good holds back all that follows it: nothing after a gap is given out.
 */
final class TcpStream {
    /** Segments kept for a gap to close; past this the rest of the stream is lost. */
    private static final int MOST_HELD = 4 * 1024 * 1024;

    private final Consumer<ByteBuffer> out;
    private final TreeMap<Long, byte[]> early = new TreeMap<>();
    private boolean started;
    private boolean lost;
    private long first;
    private long next;
    private int held;

    TcpStream(Consumer<ByteBuffer> out) {
        this.out = out;
    }

    /** Whether this segment begins a new connection on the same ports. */
    boolean isRestart(Packet p) {
        return started && (p.flags() & Packet.SYN) != 0 && p.sequence() + 1 != (int) first;
    }

    void take(Packet p) {
        boolean syn = (p.flags() & Packet.SYN) != 0;
        if (lost || !started && !syn && p.payload().length == 0) {
            return;
        }
        if (!started) {
            // Without a SYN the capture began in the middle: the first data seen is where the stream starts.
            started = true;
            next = (p.sequence() & 0xffffffffL) + (syn ? 1 : 0);
            first = next;
        }
        // Sequence numbers wrap: the one meant is the one nearest to what is awaited.
        long at = next + (p.sequence() + (syn ? 1 : 0) - (int) next);
        if (p.payload().length > 0) {
            byte[] kept = early.get(at);
            if (kept == null || kept.length < p.payload().length) {
                held += p.payload().length - (kept == null ? 0 : kept.length);
                early.put(at, p.payload());
            }
        }
        for (Map.Entry<Long, byte[]> e = early.firstEntry(); e != null && e.getKey() <= next; e = early.firstEntry()) {
            early.pollFirstEntry();
            held -= e.getValue().length;
            int known = (int) Math.min(next - e.getKey(), e.getValue().length);
            if (known < e.getValue().length) {
                next = e.getKey() + e.getValue().length;
                out.accept(ByteBuffer.wrap(e.getValue(), known, e.getValue().length - known));
            }
        }
        if (held > MOST_HELD) {
            lost = true;
            early.clear();
        }
    }

    /** Whether something that was captured comes after a gap that never closed. */
    boolean hasGap() {
        return lost || !early.isEmpty();
    }
}
