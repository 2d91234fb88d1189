package mintstair.pcap;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.Map;
import java.util.TreeMap;

/**
 * Reassembles one direction of a TCP connection (RFC 9293) from segments in any order, with retransmissions and
 * overlaps. Bytes are delivered once each, in order; where copies of a byte differ, the first is used. It ends
 * where bytes are missing for good.
 *
 * <p>Sequence numbers wrap after 2^32. Positions here are {@code long}s that count on from the first sequence
 * number, so that they can be compared. Not safe for use by several threads.
 */
final class TcpStreamReassembler {
    /** Receives bytes in order, with the time of the segment that completed them. */
    @FunctionalInterface
    interface Output {
        /** Takes {@code bytes[from]} to {@code bytes[to - 1]}. */
        void deliver(long timestampNanos, byte[] bytes, int from, int to);
    }

    /** Bytes that one stream may buffer out of order. */
    static final int MAX_BUFFERED_BYTES = 1 << 20;

    /** Delivered segments whose hash is kept, to notice retransmissions with other content. */
    private static final int REMEMBERED_SEGMENTS = 16;

    private record DeliveredSegment(long position, int length, int hash) {
        boolean isSamePlace(long otherPosition, int otherLength) {
            return position == otherPosition && length == otherLength;
        }
    }

    private final Output output;
    private final DropCounters drops;
    private final TreeMap<Long, byte[]> outOfOrder = new TreeMap<>();
    private final Deque<DeliveredSegment> recentlyDelivered = new ArrayDeque<>();
    private boolean started;
    private boolean startCaptured;
    private boolean ended;
    private long firstPosition;
    private long nextPosition;
    private long truncatedAt = Long.MAX_VALUE;
    private int bufferedBytes;

    TcpStreamReassembler(Output output, DropCounters drops) {
        this.output = output;
        this.drops = drops;
    }

    /** Whether the capture holds the SYN of this direction. */
    boolean isStartCaptured() {
        return startCaptured;
    }

    /** Whether nothing more will be delivered. */
    boolean isEnded() {
        return ended;
    }

    int bufferedBytes() {
        return bufferedBytes;
    }

    /** Whether this segment is the SYN of a new connection on the same ports. */
    boolean isRestart(TcpSegment segment) {
        return started && segment.has(TcpSegment.SYN) && segment.dataSequence() != (int) firstPosition;
    }

    /** Takes a segment of this direction, and delivers what it completes. */
    void accept(TcpSegment segment) {
        byte[] payload = segment.payload();
        boolean syn = segment.has(TcpSegment.SYN);
        if (ended || (!started && !syn && payload.length == 0)) {
            return;
        }
        if (!started) {
            start(segment, syn);
        }
        long position = positionOf(segment.dataSequence());
        if (payload.length > 0) {
            if (position + payload.length <= nextPosition) {
                compareWithDelivered(position, payload);
            } else {
                buffer(position, payload);
            }
        }
        if (segment.truncatedBytes() > 0) {
            truncatedAt = Math.min(truncatedAt, position + payload.length);
        }
        deliver(segment.timestampNanos());
        if (nextPosition >= truncatedAt) {
            abort(DropCounters.Reason.SNAPPED);
        } else if (bufferedBytes > MAX_BUFFERED_BYTES) {
            abort(DropCounters.Reason.STREAM_FULL);
        }
    }

    /** Without a SYN the capture began within the connection: the stream begins with the first data seen. */
    private void start(TcpSegment segment, boolean syn) {
        started = true;
        startCaptured = syn;
        firstPosition = Integer.toUnsignedLong(segment.sequence()) + (syn ? 1 : 0);
        nextPosition = firstPosition;
    }

    /** Of the positions with this sequence number the one nearest to what is expected next. */
    private long positionOf(int sequence) {
        return nextPosition + (sequence - (int) nextPosition);
    }

    private void compareWithDelivered(long position, byte[] payload) {
        for (DeliveredSegment delivered : recentlyDelivered) {
            if (delivered.isSamePlace(position, payload.length) && delivered.hash != Arrays.hashCode(payload)) {
                drops.count(DropCounters.Reason.OTHER_BYTES);
                return;
            }
        }
    }

    /** Buffers the parts of the payload that no buffered segment covers. */
    private void buffer(long position, byte[] payload) {
        long from = Math.max(position, nextPosition);
        long to = position + payload.length;
        boolean conflict = false;
        Map.Entry<Long, byte[]> before = outOfOrder.lowerEntry(from);
        if (before != null && endOf(before) > from) {
            long overlapEnd = Math.min(to, endOf(before));
            conflict = differs(before, from, overlapEnd, position, payload);
            from = overlapEnd;
        }
        while (from < to) {
            Map.Entry<Long, byte[]> after = outOfOrder.ceilingEntry(from);
            long gapEnd = after == null ? to : Math.min(to, after.getKey());
            if (gapEnd > from) {
                byte[] part = Arrays.copyOfRange(payload, (int) (from - position), (int) (gapEnd - position));
                outOfOrder.put(from, part);
                bufferedBytes += part.length;
            }
            if (after == null || after.getKey() >= to) {
                break;
            }
            from = Math.min(to, endOf(after));
            conflict |= differs(after, after.getKey(), from, position, payload);
        }
        if (conflict) {
            drops.count(DropCounters.Reason.OTHER_BYTES);
        }
    }

    private static long endOf(Map.Entry<Long, byte[]> buffered) {
        return buffered.getKey() + buffered.getValue().length;
    }

    /** Whether a buffered segment and a payload differ between two positions that both cover. */
    private static boolean differs(
            Map.Entry<Long, byte[]> buffered, long from, long to, long payloadPosition, byte[] payload) {
        long bufferedPosition = buffered.getKey();
        return !Arrays.equals(
                buffered.getValue(),
                (int) (from - bufferedPosition),
                (int) (to - bufferedPosition),
                payload,
                (int) (from - payloadPosition),
                (int) (to - payloadPosition));
    }

    /** Delivers what is buffered from the next position on, up to the first gap. */
    private void deliver(long timestampNanos) {
        Map.Entry<Long, byte[]> first = outOfOrder.firstEntry();
        while (first != null && first.getKey() == nextPosition && nextPosition < truncatedAt) {
            outOfOrder.pollFirstEntry();
            byte[] bytes = first.getValue();
            bufferedBytes -= bytes.length;
            int length = (int) Math.min(bytes.length, truncatedAt - nextPosition);
            remember(new DeliveredSegment(nextPosition, bytes.length, Arrays.hashCode(bytes)));
            nextPosition += length;
            output.deliver(timestampNanos, bytes, 0, length);
            first = outOfOrder.firstEntry();
        }
    }

    private void remember(DeliveredSegment segment) {
        if (recentlyDelivered.size() == REMEMBERED_SEGMENTS) {
            recentlyDelivered.poll();
        }
        recentlyDelivered.add(segment);
    }

    /**
     * Takes the acknowledgment number of the other direction. The receiver has all bytes before it, so that what
     * the capture lacks of them will not be retransmitted.
     */
    void acknowledge(int acknowledgment) {
        if (!started || ended || outOfOrder.isEmpty()) {
            return;
        }
        boolean coversGap = acknowledgment - (int) nextPosition > 0;
        boolean reachesBuffered = acknowledgment - (int) (long) outOfOrder.firstKey() >= 0;
        if (coversGap && reachesBuffered) {
            abort(DropCounters.Reason.MISSING);
        }
    }

    /** Ends the stream, counts why, and drops what it buffers. */
    void abort(DropCounters.Reason reason) {
        if (!ended) {
            drops.count(reason);
            ended = true;
            outOfOrder.clear();
            bufferedBytes = 0;
        }
    }

    /**
     * Ends the stream, as its connection has ended.
     *
     * @return whether buffered bytes behind a gap were dropped
     */
    boolean finish() {
        boolean gap = !outOfOrder.isEmpty();
        if (gap) {
            abort(DropCounters.Reason.GAP);
        }
        ended = true;
        return gap;
    }
}
