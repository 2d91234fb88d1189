package mintstair.decision;

/**
 * The slow start of one host: since when it has been warming up, and which share of its capacity it is assumed to have.
 * Times are microseconds on the router's own clock. Not safe for use by several threads.
 */
final class SlowStart {
    private boolean active;
    /** Whether the start was read from the endpoint list rather than detected by this router. */
    private boolean fromList;

    private long startedAt;
    private int attemptsSent;
    private int requestsHeldBack;

    /** Begins a slow start because this router detected that the host started at this time. */
    void beginDetected(long at) {
        begin(at, false);
    }

    /** Begins a slow start because the host started at this time according to the endpoint list. */
    void beginListed(long at) {
        begin(at, true);
    }

    private void begin(long at, boolean listed) {
        active = true;
        fromList = listed;
        startedAt = at;
        attemptsSent = 0;
        requestsHeldBack = 0;
    }

    /** Records that an attempt was sent to the host while it was warming up. */
    void recordAttemptSent() {
        attemptsSent++;
    }

    /** Records that a request was held back from the host because it was warming up. */
    void recordRequestHeldBack() {
        requestsHeldBack++;
    }

    /** Returns the number of attempts sent in the latest slow start. */
    int attemptsSent() {
        return attemptsSent;
    }

    /** Returns the number of requests held back in the latest slow start, each counted once. */
    int requestsHeldBack() {
        return requestsHeldBack;
    }

    /** Ends a slow start that was read from the endpoint list, because the listed start is too long ago. */
    void endListed() {
        active &= !fromList;
    }

    /** Returns whether the host was warming up when {@link #capacityShare} was last called or the slow start began. */
    boolean isActive() {
        return active;
    }

    /** Returns the start of the host that began the latest slow start; 0 if there was none. */
    long startedAt() {
        return startedAt;
    }

    /** Returns the share of its capacity that the host is assumed to have now, below 1 during slow start. */
    double capacityShare(long now, ProtectionSettings protection) {
        if (!active) {
            return 1;
        }
        double initial = protection.slowStartInitialShare();
        double share = initial + (1 - initial) * (now - startedAt) / Math.max(1, protection.slowStartMicros());
        active = share < 1;
        return Math.max(initial, Math.min(1, share));
    }
}
