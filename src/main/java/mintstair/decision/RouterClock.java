package mintstair.decision;

/**
 * The time as the router sees it: never goes back, and knows since when the process has run without a pause. Times
 * are microseconds. Not safe for use by several threads.
 */
final class RouterClock {
    /**
     * A timer that fires this late shows that the process was paused; what it missed meanwhile is no evidence against
     * endpoints.
     */
    private static final long PAUSE_MICROS = 100_000;

    private long latest;
    private long runningSince;

    RouterClock(long startedAt) {
        runningSince = startedAt;
    }

    /** Advances to {@code reading}, or stays where that is in the past; returns the time that counts. */
    long advance(long reading) {
        latest = Math.max(latest, reading);
        return latest;
    }

    /** A timer that was due at {@code dueAt} fires now. */
    void timerFired(long now, long dueAt) {
        if (now - dueAt > PAUSE_MICROS) {
            runningSince = now;
        }
    }

    /** The start of the router, or the end of the last pause of its process. */
    long runningSince() {
        return runningSince;
    }
}
