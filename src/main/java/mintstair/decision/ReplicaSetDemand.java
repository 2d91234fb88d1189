package mintstair.decision;

/**
 * The demand of this router's clients for one replica set, in work per second. A rise takes effect at once, as far
 * as the few requests of one router distinguish it from chance. Times are in microseconds. Not safe for use by
 * several threads.
 */
final class ReplicaSetDemand {
    private static final double MEMORY_MICROS = 20_000_000;
    private static final double RECENT_MICROS = 400_000;
    private static final double MICROS_PER_SECOND = 1e6;
    /** A difference of this many requests within the recent time is attributed to chance. */
    private static final double RANDOM_VARIATION = 1;

    private final DecayingRate reads = new DecayingRate(MEMORY_MICROS);
    private final DecayingRate primaryOnly = new DecayingRate(MEMORY_MICROS);
    private final DecayingRate arrivals = new DecayingRate(MEMORY_MICROS);
    private final DecayingRate recentArrivals = new DecayingRate(RECENT_MICROS);

    /** Records that a request for this set has arrived. */
    void requestArrived(long now, InFlightRequest request) {
        (request.needsPrimary() ? primaryOnly : reads).add(now, request.work);
        arrivals.add(now, 1);
        recentArrivals.add(now, 1);
    }

    /** Returns the work per second of reads that any member may serve. */
    double readsPerSecond(long now, double assumedPerSecond) {
        return reads.perSecond(now, assumedPerSecond) * recentIncrease(now);
    }

    /** Returns the work per second of requests that only the primary may serve. */
    double primaryOnlyPerSecond(long now, double assumedPerSecond) {
        return primaryOnly.perSecond(now, assumedPerSecond) * recentIncrease(now);
    }

    /** Returns the ratio of the recent arrival rate to the long-term mean; at least 1. */
    private double recentIncrease(long now) {
        double expected = arrivals.perSecond(now, 0) * RECENT_MICROS / MICROS_PER_SECOND;
        return Math.max(1, (recentArrivals.recentAmount(now) + RANDOM_VARIATION) / (expected + RANDOM_VARIATION));
    }
}
