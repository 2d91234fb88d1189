package mintstair.registry.view;

import java.util.function.Consumer;

/** Lines about faults of one kind: a few at once, then one a second that says how many were left out. */
final class FaultLines {
    private static final int AT_ONCE = 5;
    private static final long EVERY = 1_000_000;

    private int free = AT_ONCE;
    private long next;
    private long leftOut;

    /** Writes the line, or counts it as left out. */
    void note(long now, String line, Consumer<ViewUpdate> out) {
        flush(now, out);
        if (free > 0) {
            free--;
            next = Math.max(next, now + EVERY);
            out.accept(new ViewUpdate.LogLine(line));
        } else {
            leftOut++;
        }
    }

    /** Says what was left out, once a second is over. */
    void flush(long now, Consumer<ViewUpdate> out) {
        if (now < next) {
            return;
        }
        if (leftOut > 0) {
            out.accept(new ViewUpdate.LogLine("registry: " + leftOut + " more lines of this kind were left out"));
            leftOut = 0;
            next = now + EVERY;
        } else {
            free = AT_ONCE;
        }
    }

    /** When to flush; {@code Long.MAX_VALUE} where nothing was left out. */
    long wakeAt() {
        return leftOut > 0 ? next : Long.MAX_VALUE;
    }
}
