package mintstair.decision;

/**
 * Schedules the router's periodic work, the ticks. A timer runs only while a tick is scheduled, so that an idle router
 * uses no processor time. Times are microseconds. Not safe for use by several threads.
 */
final class TickTimer {
    /** The shortest time from scheduling a tick to its start. */
    static final long INTERVAL_MICROS = 20_000;

    private static final String NAME = "tick";
    /** A timer may fire this much too early. */
    private static final long TOLERANCE_MICROS = 15_000;

    private final RouterActions actions;
    private long dueAt = Long.MAX_VALUE;

    TickTimer(RouterActions actions) {
        this.actions = actions;
    }

    /**
     * Schedules the next tick for {@code requestedAt}, or for the end of the shortest interval if that is later; does
     * nothing if an earlier tick is scheduled.
     */
    void schedule(long now, long requestedAt) {
        long candidate = Math.max(requestedAt, now + INTERVAL_MICROS);
        if (candidate >= dueAt) {
            return;
        }
        dueAt = candidate;
        actions.startTimer(NAME, candidate - now);
    }

    /**
     * Returns whether the timer of this name is that of the ticks, and the scheduled tick is due. A timer that was
     * replaced by an earlier one is not due.
     */
    boolean isDue(long now, String name) {
        return name.equals(NAME) && now >= dueAt - TOLERANCE_MICROS;
    }

    /** Begins the scheduled tick; returns when it was due. */
    long beginTick() {
        long due = dueAt;
        dueAt = Long.MAX_VALUE;
        return due;
    }
}
