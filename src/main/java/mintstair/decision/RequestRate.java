package mintstair.decision;

/**
 * Measures the rate of requests that arrive at this router, as an exponentially weighted mean. Times are microseconds.
 * Not safe for use by several threads.
 */
final class RequestRate {
    /** Time constant of the mean. */
    private static final double DECAY_MICROS = 2_000_000;

    private static final double MICROS_PER_SECOND = 1e6;

    private double atLastRequest;
    private long lastRequestAt;

    RequestRate(long now) {
        lastRequestAt = now;
    }

    /** Records that a request has arrived. */
    void requestArrived(long now) {
        atLastRequest = perSecond(now) + MICROS_PER_SECOND / DECAY_MICROS;
        lastRequestAt = now;
    }

    /** Returns the requests per second at this time. */
    double perSecond(long now) {
        return atLastRequest * Math.exp((lastRequestAt - now) / DECAY_MICROS);
    }

    /** Returns the requests per second at the last request, including it. */
    double perSecondAtLastRequest() {
        return atLastRequest;
    }
}
