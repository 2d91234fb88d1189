package mintstair.decision;

/**
 * The evidence for whether one endpoint is alive. Only {@link FailureDetector} changes it, apart from the number of
 * time-outs. Times are in microseconds on the router's clock.
 */
final class Liveness {
    /** When it last replied to a request or a health check. */
    long lastReplyAt = Endpoint.NEVER;
    /** When it last answered a request, or had none in flight. */
    long answeredAt;
    /** The time up to which {@link #missedReplies} is computed. */
    long accruedAt;
    /** The number of replies expected since {@link #answeredAt}, by the mean latency. */
    double missedReplies;
    /** The number of attempts that have timed out since {@link #answeredAt}. */
    int timeouts;
    /** The number of consecutive attempts and health checks that did not reach it. */
    int consecutiveUnreachable;

    private boolean unresponsive;
    private long unresponsiveSince = Endpoint.NEVER;

    /** Returns whether it gets trial requests only. */
    boolean isUnresponsive() {
        return unresponsive;
    }

    /** Returns when it last became unresponsive. */
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

    /** Clears the missed replies, because the endpoint has answered a request or has none in flight. */
    void clearMissedReplies(long now) {
        missedReplies = 0;
        timeouts = 0;
        answeredAt = now;
    }
}
