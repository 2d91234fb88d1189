package mintstair.traffic;

/**
 * One monotone time line from a recording's clock, without I/O. A clock that jumps back is taken to have been set: all that
 * follows is moved on by as much, so that what came later stays later. A gap longer than {@code mostGap} is shortened to it, for
 * a replay that is not to wait for hours. Times that stand still stand still. All in nanoseconds. Not safe for use by several
 * threads.
 */
public final class TimeLine {
    /** Frames may be written a little out of order by different processors: that is no clock that was set. */
    static final long JITTER = 10_000_000;

    private final long mostGap;
    private long newest = Long.MIN_VALUE;
    private long moved;
    private long last;
    private long setBack;
    private long setBackBy;
    private long outOfOrder;
    private long gaps;
    private long gapsBy;
    private long stoodStill;

    /** {@code mostGap} is the longest time in which nothing may happen; {@code Long.MAX_VALUE} to leave gaps as they are. */
    public TimeLine(long mostGap) {
        if (mostGap <= 0) {
            throw new IllegalArgumentException("the longest gap must be above 0");
        }
        this.mostGap = mostGap;
    }

    /** The place on the line of what the recording's clock gives this time; never before the one of the call before. */
    public long place(long recorded) {
        if (newest == Long.MIN_VALUE) {
            newest = recorded;
            last = recorded;
            return recorded;
        }
        long step = recorded - newest;
        if (step < -JITTER) {
            // The clock was set back: time goes on from where it was.
            setBack++;
            setBackBy -= step;
            moved -= step;
        } else if (step < 0) {
            outOfOrder++;
            return last;
        } else if (step > mostGap) {
            gaps++;
            gapsBy += step - mostGap;
            moved -= step - mostGap;
        } else if (step == 0) {
            stoodStill++;
        }
        newest = recorded;
        last = Math.max(last, recorded + moved);
        return last;
    }

    /** How often the clock was set back. */
    public long setBack() {
        return setBack;
    }

    /** How often nothing happened for longer than the longest gap. */
    public long gaps() {
        return gaps;
    }

    /** What was repaired, in words; empty where nothing was. */
    public String repaired() {
        StringBuilder text = new StringBuilder();
        if (setBack > 0) {
            text.append("set_back=")
                    .append(setBack)
                    .append(" by_ms=")
                    .append(setBackBy / 1_000_000)
                    .append(' ');
        }
        if (outOfOrder > 0) {
            text.append("out_of_order=").append(outOfOrder).append(' ');
        }
        if (gaps > 0) {
            text.append("gaps=")
                    .append(gaps)
                    .append(" shortened_by_ms=")
                    .append(gapsBy / 1_000_000)
                    .append(' ');
        }
        if (stoodStill > 0) {
            text.append("same_time=").append(stoodStill).append(' ');
        }
        return text.toString().strip();
    }
}
