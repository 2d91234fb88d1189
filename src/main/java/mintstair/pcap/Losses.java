package mintstair.pcap;

import java.util.EnumMap;
import java.util.Map;

/** What of a capture could not be used, counted by reason. Not safe for use by several threads. */
public final class Losses {
    /** Why something gave way. */
    public enum Reason {
        /** The file ended within a frame, or went on with what is none. */
        FILE_DAMAGED,
        /** A link type that is not understood. */
        UNKNOWN_LINK,
        /** No TCP over IP, or not whole in its own headers. */
        NOT_TCP,
        /** Fragments of a packet that never came together, or for which there was no room. */
        FRAGMENTS,
        /** A stream ends where the capture misses bytes that its receiver had. */
        MISSING,
        /** A stream ends where the capture's snap length cut it. */
        SNAPPED,
        /** A stream ends with bytes behind a gap that never closed. */
        GAP,
        /** A stream ends as more bytes waited for a gap to close than one may hold. */
        STREAM_FULL,
        /** A stream ends as more bytes waited than all may hold together. */
        ALL_FULL,
        /** A connection was given up, the longest quiet one, as there were too many. */
        TOO_MANY,
        /** Bytes were sent again as others: the first that came stand. */
        OTHER_BYTES,
        /** A stream ends with what is no message of the protocol. */
        NO_MESSAGE,
        /** A connection that began before the capture and can't be entered. */
        BEGUN_BEFORE
    }

    private final Map<Reason, Long> counts = new EnumMap<>(Reason.class);

    void count(Reason reason) {
        counts.merge(reason, 1L, Long::sum);
    }

    /** Counts what other code gives up, too. */
    public void add(Reason reason, long times) {
        if (times > 0) {
            counts.merge(reason, times, Long::sum);
        }
    }

    public long of(Reason reason) {
        return counts.getOrDefault(reason, 0L);
    }

    /** Names and counts of what there was, in the order of the reasons; empty where nothing was lost. */
    @Override
    public String toString() {
        StringBuilder text = new StringBuilder();
        counts.forEach((reason, n) -> text.append(text.length() == 0 ? "" : " ")
                .append(reason.name().toLowerCase(java.util.Locale.ROOT))
                .append('=')
                .append(n));
        return text.toString();
    }
}
