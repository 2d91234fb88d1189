package mintstair.decision;

/**
 * The slow start of one host: since when it has been warming up, and what share of its capacity it can be trusted
 * with. Times are microseconds on the router's own clock. Not safe for use by several threads.
 */
final class SlowStart {
    private boolean active;
    /** Whether it follows the start in the endpoint list, and not what this router found. */
    private boolean fromList;

    private long since;
    private int attemptsSent;
    private int requestsHeldBack;

    /** The host came back at this time, by what this router found. */
    void found(long at) {
        begin(at, false);
    }

    /** By the endpoint list the host started at this time. */
    void listed(long at) {
        begin(at, true);
    }

    private void begin(long at, boolean byList) {
        active = true;
        fromList = byList;
        since = at;
        attemptsSent = 0;
        requestsHeldBack = 0;
    }

    /** An attempt was sent to the host while it was warming up. */
    void attemptSent() {
        attemptsSent++;
    }

    /** A request was not sent to the host because it was warming up. */
    void requestHeldBack() {
        requestsHeldBack++;
    }

    /** Attempts sent since it began last. */
    int attemptsSent() {
        return attemptsSent;
    }

    /** Requests held back, each counted once, since it began last. */
    int requestsHeldBack() {
        return requestsHeldBack;
    }

    /** By the endpoint list the start is too long ago to matter. */
    void listedAsWarm() {
        active &= !fromList;
    }

    /** Whether it is warming up, as far as was looked at. */
    boolean isActive() {
        return active;
    }

    /** When it began last; 0 where it never did. */
    long since() {
        return since;
    }

    /** The share of its capacity that the host can be trusted with now. */
    double capacityShare(long now, ProtectionSettings protection) {
        if (!active) {
            return 1;
        }
        double cold = protection.slowStartInitialShare();
        double share = cold + (1 - cold) * (now - since) / Math.max(1, protection.slowStartMicros());
        active = share < 1;
        return Math.max(cold, Math.min(1, share));
    }
}
