package mintstair.pcap;

import java.util.Map;
import java.util.TreeMap;

/**
 * The fragments of one IP packet that came up to now. Where fragments overlap, the bytes that came first are used.
 */
final class FragmentedPacket {
    private static final int UNKNOWN_LENGTH = -1;

    private final long firstSeenNanos;
    private final TreeMap<Integer, byte[]> payloadsByOffset = new TreeMap<>();
    private int totalLength = UNKNOWN_LENGTH;

    FragmentedPacket(long firstSeenNanos) {
        this.firstSeenNanos = firstSeenNanos;
    }

    /** Time that passed since the first fragment; timestamps may go back. */
    long ageNanos(long nowNanos) {
        return Math.abs(nowNanos - firstSeenNanos);
    }

    void add(IpFragment fragment) {
        payloadsByOffset.merge(fragment.offset(), fragment.payloadBytes(), FragmentedPacket::keepFirst);
        if (!fragment.moreFragments()) {
            totalLength = fragment.end();
        }
    }

    /** The longer of two payloads at one offset, with the bytes of the first where both have some. */
    private static byte[] keepFirst(byte[] first, byte[] second) {
        if (first.length >= second.length) {
            return first;
        }
        byte[] joined = second.clone();
        System.arraycopy(first, 0, joined, 0, first.length);
        return joined;
    }

    /** Returns the whole payload, or null while fragments are missing. */
    byte[] reassemble() {
        if (totalLength == UNKNOWN_LENGTH) {
            return null;
        }
        byte[] whole = new byte[totalLength];
        int filled = 0;
        for (Map.Entry<Integer, byte[]> entry : payloadsByOffset.entrySet()) {
            int offset = entry.getKey();
            byte[] payload = entry.getValue();
            if (offset > filled) {
                return null;
            }
            int overlap = filled - offset;
            int added = Math.min(payload.length, totalLength - offset) - overlap;
            if (added > 0) {
                System.arraycopy(payload, overlap, whole, filled, added);
                filled += added;
            }
        }
        return filled >= totalLength ? whole : null;
    }
}
