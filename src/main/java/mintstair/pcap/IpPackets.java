package mintstair.pcap;

import java.nio.ByteBuffer;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * TCP segments in IP packets, version 4 and 6, in pieces too. Fragments wait for each other for a while; a bounded number of
 * packets in pieces is kept, and the oldest gives way. The first bytes for a place stand.
 */
final class IpPackets {
    private static final int TCP = 6;
    private static final int MOST = 256;
    private static final int LONGEST = 65_535;
    private static final long WAIT_NANOS = 30_000_000_000L;

    /** What belongs together: addresses and the number of the packet. */
    private record Key(ByteBuffer source, ByteBuffer target, int id) {}

    /** A packet in pieces; {@code length} is known with its last one. */
    private static final class Pieces {
        final long since;
        final TreeMap<Integer, byte[]> parts = new TreeMap<>();
        int length = -1;

        Pieces(long since) {
            this.since = since;
        }

        /** All of it, or null while something is missing. */
        byte[] whole() {
            if (length < 0) {
                return null;
            }
            byte[] whole = new byte[length];
            int to = 0;
            for (Map.Entry<Integer, byte[]> part : parts.entrySet()) {
                int from = part.getKey();
                if (from > to) {
                    return null;
                }
                int skip = to - from;
                int n = Math.min(part.getValue().length, length - from) - skip;
                if (n > 0) {
                    System.arraycopy(part.getValue(), skip, whole, to, n);
                    to += n;
                }
            }
            return to >= length ? whole : null;
        }
    }

    private final Losses losses;
    private final Map<Key, Pieces> pieces = new LinkedHashMap<>();

    IpPackets(Losses losses) {
        this.losses = losses;
    }

    /** The segment that the packet holds or completes, or null. */
    Segment take(long nanos, ByteBuffer ip) {
        try {
            return (ip.get(0) >> 4 & 15) == 4 ? version4(nanos, ip) : version6(nanos, ip);
        } catch (IndexOutOfBoundsException | IllegalArgumentException e) {
            losses.count(Losses.Reason.NOT_TCP);
            return null;
        }
    }

    private Segment version4(long nanos, ByteBuffer d) {
        int head = (d.get(0) & 15) * 4;
        // Captures on the sending machine may hold packets whose length is left to the network card.
        int total = d.getShort(2) == 0 ? d.limit() : d.getShort(2) & 0xffff;
        if (d.get(9) != TCP || head < 20 || total < head) {
            losses.count(Losses.Reason.NOT_TCP);
            return null;
        }
        byte[] source = bytes(d, 12, 4);
        byte[] target = bytes(d, 16, 4);
        int offset = (d.getShort(6) & 0x1fff) * 8;
        boolean more = (d.getShort(6) & 0x2000) != 0;
        ByteBuffer body = d.slice(head, Math.min(total, d.limit()) - head);
        if (offset == 0 && !more) {
            return segment(nanos, source, target, body, total - head);
        }
        return piece(nanos, source, target, d.getShort(4) & 0xffff, offset, more, body, total - head);
    }

    private Segment version6(long nanos, ByteBuffer d) {
        int total = 40 + (d.getShort(4) & 0xffff);
        byte[] source = bytes(d, 8, 16);
        byte[] target = bytes(d, 24, 16);
        int next = d.get(6) & 255;
        int at = 40;
        for (int headers = 0; headers < 16; headers++) {
            switch (next) {
                case TCP -> {
                    return segment(nanos, source, target, d.slice(at, Math.min(total, d.limit()) - at), total - at);
                }
                // Hop-by-hop, routing, destination options, mobility: their lengths are in units of 8 bytes.
                case 0, 43, 60, 135 -> {
                    next = d.get(at) & 255;
                    at += 8 + (d.get(at + 1) & 255) * 8;
                }
                // Authentication: in units of 4 bytes.
                case 51 -> {
                    next = d.get(at) & 255;
                    at += 8 + (d.get(at + 1) & 255) * 4;
                }
                case 44 -> {
                    int field = d.getShort(at + 2) & 0xffff;
                    next = d.get(at) & 255;
                    ByteBuffer body = d.slice(at + 8, Math.min(total, d.limit()) - at - 8);
                    if ((field & 0xfff9) != 0) {
                        return next != TCP
                                ? notTcp()
                                : piece(
                                        nanos,
                                        source,
                                        target,
                                        d.getInt(at + 4),
                                        field & 0xfff8,
                                        (field & 1) != 0,
                                        body,
                                        total - at - 8);
                    }
                    at += 8;
                }
                default -> {
                    return notTcp();
                }
            }
        }
        return notTcp();
    }

    private Segment notTcp() {
        losses.count(Losses.Reason.NOT_TCP);
        return null;
    }

    private static Segment segment(long nanos, byte[] source, byte[] target, ByteBuffer body, int length) {
        return Segment.parse(nanos, source, target, body, length);
    }

    private Segment piece(
            long nanos, byte[] source, byte[] target, int id, int offset, boolean more, ByteBuffer body, int length) {
        expire(nanos);
        Key key = new Key(ByteBuffer.wrap(source), ByteBuffer.wrap(target), id);
        if (body.limit() < length || offset + length > LONGEST) {
            // Cut by the snap length: the whole can't be had any more.
            losses.count(Losses.Reason.FRAGMENTS);
            pieces.remove(key);
            return null;
        }
        Pieces of = pieces.computeIfAbsent(key, k -> new Pieces(nanos));
        byte[] bytes = bytes(body, 0, length);
        of.parts.merge(offset, bytes, (old, now) -> old.length >= now.length ? old : join(old, now));
        if (!more) {
            of.length = offset + length;
        }
        byte[] whole = of.whole();
        if (whole == null) {
            return null;
        }
        pieces.remove(key);
        return segment(nanos, source, target, ByteBuffer.wrap(whole), whole.length);
    }

    /** The longer one, but what came first stands. */
    private static byte[] join(byte[] first, byte[] longer) {
        byte[] joined = longer.clone();
        System.arraycopy(first, 0, joined, 0, first.length);
        return joined;
    }

    private void expire(long nanos) {
        for (Iterator<Pieces> oldest = pieces.values().iterator(); oldest.hasNext(); ) {
            Pieces p = oldest.next();
            if (pieces.size() <= MOST && Math.abs(nanos - p.since) < WAIT_NANOS) {
                return;
            }
            losses.count(Losses.Reason.FRAGMENTS);
            oldest.remove();
        }
    }

    /** Counts what never came together. */
    void end() {
        losses.add(Losses.Reason.FRAGMENTS, pieces.size());
        pieces.clear();
    }

    private static byte[] bytes(ByteBuffer d, int at, int n) {
        byte[] bytes = new byte[n];
        d.get(at, bytes);
        return bytes;
    }
}
