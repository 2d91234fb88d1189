package mintstair.pcap;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;

/**
 * One direction of one TCP connection, put together from segments in any order, some more than once, some overlapping. Bytes are
 * given out once each, in order; what comes first for a place stands. It ends where it can't be followed any more. Sequence
 * numbers wrap: places are counted on from the first one. Source: RFC 9293.
 */
final class StreamHalf {
    /** Takes bytes in their order, with the time of the segment that completed them. */
    interface Out {
        void bytes(long nanos, byte[] bytes, int from, int to);
    }

    /** Bytes that one stream may keep for a gap to close. */
    static final int MOST_HELD = 1 << 20;
    /** Segments given out of which is remembered what they held, to notice those sent again with other bytes. */
    private static final int REMEMBERED = 16;

    private record Given(long at, int length, int hash) {}

    private final Out out;
    private final Losses losses;
    private final TreeMap<Long, byte[]> early = new TreeMap<>();
    private final ArrayDeque<Given> given = new ArrayDeque<>();
    private boolean started;
    private boolean sawStart;
    private boolean over;
    private long first;
    private long next;
    private long end = Long.MAX_VALUE;
    private int held;

    StreamHalf(Out out, Losses losses) {
        this.out = out;
        this.losses = losses;
    }

    /** Whether the capture has the connection's beginning. */
    boolean sawStart() {
        return sawStart;
    }

    boolean isOver() {
        return over;
    }

    int held() {
        return held;
    }

    /** Whether this segment begins a new connection on the same ports. */
    boolean isRestart(Segment s) {
        return started && s.has(Segment.SYN) && s.sequence() + 1 != (int) first;
    }

    void take(Segment s) {
        boolean syn = s.has(Segment.SYN);
        if (over || (!started && !syn && s.payload().length == 0)) {
            return;
        }
        if (!started) {
            // Without a SYN the capture began in the middle: the first data seen is where the stream starts.
            started = true;
            sawStart = syn;
            next = (s.sequence() & 0xffffffffL) + (syn ? 1 : 0);
            first = next;
        }
        // The place meant is the one nearest to what is awaited.
        long at = next + (s.sequence() + (syn ? 1 : 0) - (int) next);
        byte[] payload = s.payload();
        if (payload.length > 0) {
            if (at + payload.length <= next) {
                compare(at, payload);
            } else {
                hold(at, payload);
            }
        }
        if (s.missing() > 0) {
            end = Math.min(end, at + payload.length);
        }
        giveOut(s.nanos());
        if (next >= end) {
            stop(Losses.Reason.SNAPPED);
        } else if (held > MOST_HELD) {
            stop(Losses.Reason.STREAM_FULL);
        }
    }

    /** What was given out already came again. */
    private void compare(long at, byte[] payload) {
        for (Given g : given) {
            if (g.at == at && g.length == payload.length && g.hash != Arrays.hashCode(payload)) {
                losses.count(Losses.Reason.OTHER_BYTES);
                return;
            }
        }
    }

    /** Keeps what is not there yet; what is stands. */
    private void hold(long at, byte[] payload) {
        long from = Math.max(at, next);
        long to = at + payload.length;
        boolean differs = false;
        Map.Entry<Long, byte[]> before = early.lowerEntry(from);
        if (before != null && before.getKey() + before.getValue().length > from) {
            long until = Math.min(to, before.getKey() + before.getValue().length);
            differs |= differ(before, from, until, at, payload);
            from = until;
        }
        while (from < to) {
            Map.Entry<Long, byte[]> after = early.ceilingEntry(from);
            long until = after == null ? to : Math.min(to, after.getKey());
            if (until > from) {
                early.put(from, Arrays.copyOfRange(payload, (int) (from - at), (int) (until - at)));
                held += (int) (until - from);
            }
            if (after == null || after.getKey() >= to) {
                break;
            }
            from = Math.min(to, after.getKey() + after.getValue().length);
            differs |= differ(after, after.getKey(), from, at, payload);
        }
        if (differs) {
            losses.count(Losses.Reason.OTHER_BYTES);
        }
    }

    private static boolean differ(Map.Entry<Long, byte[]> kept, long from, long to, long at, byte[] payload) {
        long base = kept.getKey();
        return !Arrays.equals(
                kept.getValue(), (int) (from - base), (int) (to - base), payload, (int) (from - at), (int) (to - at));
    }

    private void giveOut(long nanos) {
        for (Map.Entry<Long, byte[]> e = early.firstEntry();
                e != null && e.getKey() == next && next < end;
                e = early.firstEntry()) {
            early.pollFirstEntry();
            byte[] bytes = e.getValue();
            held -= bytes.length;
            int n = (int) Math.min(bytes.length, end - next);
            if (given.size() == REMEMBERED) {
                given.poll();
            }
            given.add(new Given(next, bytes.length, Arrays.hashCode(bytes)));
            next += n;
            out.bytes(nanos, bytes, 0, n);
        }
    }

    /** The other side says what it has: what the capture lacks of that will not come any more. */
    void acknowledged(int ack) {
        if (started && !over && !early.isEmpty() && ack - (int) next > 0 && ack - (int) (long) early.firstKey() >= 0) {
            stop(Losses.Reason.MISSING);
        }
    }

    /** It can't be followed any more. */
    void stop(Losses.Reason why) {
        if (!over) {
            losses.count(why);
            over = true;
            early.clear();
            held = 0;
        }
    }

    /** Nothing more comes; tells whether something that waits behind a gap is lost. */
    boolean end() {
        boolean gap = !early.isEmpty();
        if (gap) {
            stop(Losses.Reason.GAP);
        }
        over = true;
        return gap;
    }
}
