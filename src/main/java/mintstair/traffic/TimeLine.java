package mintstair.traffic;

/**
 * Maps timestamps of a recording's clock to a monotonic time line, without I/O. A clock that jumps back is assumed
 * to have been set: all later timestamps are moved on by as much, so that what came later stays later. A gap longer
 * than a limit is shortened to it, for a replay that is not to wait for hours. All times are nanoseconds. Not safe
 * for use by several threads.
 */
public final class TimeLine {
    /** Frames may be written a little out of order by different processors: up to this the clock was not set. */
    static final long MAX_REORDERING_NANOS = 10_000_000;

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final long maxGapNanos;
    private boolean started;
    private long newestRecorded;
    private long lastMapped;
    /** Added to recorded timestamps. */
    private long shift;

    private long clockSetBacks;
    private long setBackNanos;
    private long outOfOrder;
    private long shortenedGaps;
    private long shortenedNanos;
    private long equalTimestamps;

    /**
     * Creates a time line.
     *
     * @param maxGapNanos the longest time in which nothing may happen; {@code Long.MAX_VALUE} leaves gaps as they
     *     are
     */
    public TimeLine(long maxGapNanos) {
        if (maxGapNanos <= 0) {
            throw new IllegalArgumentException("the longest gap must be above 0");
        }
        this.maxGapNanos = maxGapNanos;
    }

    /** Maps the next timestamp; the result is never before that of the call before. */
    public long toMonotonic(long recordedNanos) {
        if (!started) {
            started = true;
            newestRecorded = recordedNanos;
            lastMapped = recordedNanos;
            return recordedNanos;
        }
        long step = recordedNanos - newestRecorded;
        if (step < 0 && step >= -MAX_REORDERING_NANOS) {
            outOfOrder++;
            return lastMapped;
        }
        if (step < 0) {
            clockSetBacks++;
            setBackNanos -= step;
            shift -= step;
        } else if (step > maxGapNanos) {
            shortenedGaps++;
            shortenedNanos += step - maxGapNanos;
            shift -= step - maxGapNanos;
        } else if (step == 0) {
            equalTimestamps++;
        }
        newestRecorded = recordedNanos;
        lastMapped = Math.max(lastMapped, recordedNanos + shift);
        return lastMapped;
    }

    /** How often the clock was set back. */
    public long clockSetBacks() {
        return clockSetBacks;
    }

    /** How many gaps were shortened. */
    public long shortenedGaps() {
        return shortenedGaps;
    }

    /** What was repaired, for the operator; empty where nothing was. */
    public String repairs() {
        StringBuilder text = new StringBuilder();
        if (clockSetBacks > 0) {
            text.append("set_back=").append(clockSetBacks).append(" by_ms=").append(setBackNanos / NANOS_PER_MILLI);
            text.append(' ');
        }
        if (outOfOrder > 0) {
            text.append("out_of_order=").append(outOfOrder).append(' ');
        }
        if (shortenedGaps > 0) {
            text.append("gaps=").append(shortenedGaps);
            text.append(" shortened_by_ms=")
                    .append(shortenedNanos / NANOS_PER_MILLI)
                    .append(' ');
        }
        if (equalTimestamps > 0) {
            text.append("same_time=").append(equalTimestamps).append(' ');
        }
        return text.toString().strip();
    }
}
