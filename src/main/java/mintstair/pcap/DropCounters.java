package mintstair.pcap;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;

/** Counts, by reason, what of a capture could not be used. Not safe for use by several threads. */
public final class DropCounters {
    /** Why something was dropped. Operators see these names in lower case, so they stay as they are. */
    public enum Reason {
        /** The file ended within a frame, or went on with what is none. */
        FILE_DAMAGED,
        /** The frame's link type is not supported. */
        UNKNOWN_LINK,
        /** The frame holds no TCP over IP, or was cut within its headers. */
        NOT_TCP,
        /** Fragments of an IP packet that was never complete, or for which there was no room. */
        FRAGMENTS,
        /** A stream ends where the capture lacks bytes that their receiver acknowledged. */
        MISSING,
        /** A stream ends where the snapshot length cut a frame. */
        SNAPPED,
        /** A stream ends with bytes behind a gap that never closed. */
        GAP,
        /** A stream ends as it had more bytes out of order than one stream may buffer. */
        STREAM_FULL,
        /** A stream ends as all streams together had more bytes out of order than may be buffered. */
        ALL_FULL,
        /** The least recently used connection was given up, as too many were open. */
        TOO_MANY,
        /** Bytes were retransmitted with other content; the first copy was used. */
        OTHER_BYTES,
        /** A stream ends with bytes that are no message of the protocol. */
        NO_MESSAGE
    }

    private final Map<Reason, Long> counts = new EnumMap<>(Reason.class);

    /** Counts one drop. */
    public void count(Reason reason) {
        add(reason, 1);
    }

    /** Counts several drops; 0 is no drop. */
    public void add(Reason reason, long drops) {
        if (drops > 0) {
            counts.merge(reason, drops, Long::sum);
        }
    }

    /** How many drops there were for this reason. */
    public long get(Reason reason) {
        return counts.getOrDefault(reason, 0L);
    }

    /** Whether nothing was dropped. */
    public boolean isEmpty() {
        return counts.isEmpty();
    }

    /**
     * Reasons and counts, such as {@code snapped=2 gap=1}, in the order of the reasons; empty where nothing was
     * dropped.
     */
    @Override
    public String toString() {
        StringBuilder text = new StringBuilder();
        counts.forEach((reason, count) -> {
            if (text.length() > 0) {
                text.append(' ');
            }
            text.append(reason.name().toLowerCase(Locale.ROOT)).append('=').append(count);
        });
        return text.toString();
    }

    /** Reasons and counts, or "nothing", for the operator. */
    public String describe() {
        return isEmpty() ? "nothing" : toString();
    }
}
