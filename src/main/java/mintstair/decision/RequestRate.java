package mintstair.decision;

/** The rate of requests at this router, as an exponentially weighted mean. Not safe for use by several threads. */
final class RequestRate {
    private static final double SPAN_MICROS = 2_000_000;
    private static final double MICROS_PER_SECOND = 1e6;

    private double atLastRequest;
    private long lastRequestAt;

    RequestRate(long now) {
        lastRequestAt = now;
    }

    /** A request has arrived. */
    void requestArrived(long now) {
        atLastRequest = perSecond(now) + MICROS_PER_SECOND / SPAN_MICROS;
        lastRequestAt = now;
    }

    /** Requests a second, decayed to now. */
    double perSecond(long now) {
        return atLastRequest * Math.exp((lastRequestAt - now) / SPAN_MICROS);
    }

    /** Requests a second as they were at the last request. */
    double perSecondAtLastRequest() {
        return atLastRequest;
    }
}
