package mintstair.decision;

/**
 * Keeps the router's time, which never decreases, and detects pauses of the process. Times are microseconds. Not safe
 * for use by several threads.
 */
final class RouterClock {
    /**
     * A timer that fires later than this shows that the process was paused; replies that it missed meanwhile are no
     * evidence against endpoints.
     */
    private static final long PAUSE_MICROS = 100_000;

    private long latest;
    private long runningSince;

    RouterClock(long startedAt) {
        runningSince = startedAt;
    }

    /** Advances to {@code reading} unless that is in the past; returns the router's time. */
    long advance(long reading) {
        latest = Math.max(latest, reading);
        return latest;
    }

    /** Records that a timer that was due at {@code dueAt} fires now. */
    void timerFired(long now, long dueAt) {
        if (now - dueAt > PAUSE_MICROS) {
            runningSince = now;
        }
    }

    /** Returns the start of the router or the end of the last pause of the process, whichever is later. */
    long runningSince() {
        return runningSince;
    }
}
