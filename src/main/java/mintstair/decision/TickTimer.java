package mintstair.decision;

/**
 * Schedules the router's periodic work: a timer runs only while something is due, so that an idle router costs
 * nothing. Not safe for use by several threads.
 */
final class TickTimer {
    /** The shortest time between two ticks, in microseconds. */
    static final long INTERVAL_MICROS = 20_000;

    private static final String NAME = "tick";
    /** A timer may fire earlier than it was set to by this. */
    private static final long TOLERANCE_MICROS = 15_000;

    private final RouterActions actions;
    private long dueAt = Long.MAX_VALUE;

    TickTimer(RouterActions actions) {
        this.actions = actions;
    }

    /** Has the next tick come by {@code requestedAt}, but not before the shortest interval is over. */
    void schedule(long now, long requestedAt) {
        long candidate = Math.max(requestedAt, now + INTERVAL_MICROS);
        if (candidate >= dueAt) {
            return;
        }
        dueAt = candidate;
        actions.startTimer(NAME, candidate - now);
    }

    /** Whether the timer of this name is the tick, and due; one that was replaced by an earlier one is not. */
    boolean isDue(long now, String name) {
        return name.equals(NAME) && now >= dueAt - TOLERANCE_MICROS;
    }

    /** Takes note that the tick has begun; returns when it was due. */
    long beginTick() {
        long due = dueAt;
        dueAt = Long.MAX_VALUE;
        return due;
    }
}
