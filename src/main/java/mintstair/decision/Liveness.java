package mintstair.decision;

/**
 * The signs of life of one endpoint. State of {@link FailureDetector}, which alone changes it; times are microseconds
 * on the router's clock.
 */
final class Liveness {
    /** When it last answered anything, health checks included. */
    long lastReplyAt = Endpoint.NEVER;
    /** When it last answered a request, or had none to answer. */
    long answeredAt;
    /** Until when {@link #missedReplies} is summed up. */
    long accruedAt;
    /** Answers that it should have given since {@link #answeredAt}, by the mean latency. */
    double missedReplies;
    /** Attempts that timed out since {@link #answeredAt}. */
    int timeouts;
    /** Attempts and health checks in a row that did not reach it. */
    int consecutiveUnreachable;

    private boolean unresponsive;
    private long unresponsiveSince = Endpoint.NEVER;

    /** Whether it gets no requests but trials. */
    boolean isUnresponsive() {
        return unresponsive;
    }

    /** When it became unresponsive last. */
    long unresponsiveSince() {
        return unresponsiveSince;
    }

    void markUnresponsive(long now) {
        unresponsive = true;
        unresponsiveSince = now;
    }

    void markResponsive() {
        unresponsive = false;
    }

    /** It answered a request, or has none to answer: nothing is missed. */
    void clearMissedReplies(long now) {
        missedReplies = 0;
        timeouts = 0;
        answeredAt = now;
    }
}
