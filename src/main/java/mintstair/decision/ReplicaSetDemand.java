package mintstair.decision;

/**
 * What this router's clients ask of one replica set, in work a second. A rise shows at once, as far as the few requests
 * of one router can tell it from chance. Times are microseconds. Not safe for use by several threads.
 */
final class ReplicaSetDemand {
    private static final double MEMORY_MICROS = 20_000_000;
    private static final double RECENT_MICROS = 400_000;
    private static final double MICROS_PER_SECOND = 1e6;
    /** So many requests more or less within the recent time are taken for chance. */
    private static final double CHANCE = 1;

    private final DecayingRate reads = new DecayingRate(MEMORY_MICROS);
    private final DecayingRate primaryOnly = new DecayingRate(MEMORY_MICROS);
    private final DecayingRate arrivals = new DecayingRate(MEMORY_MICROS);
    private final DecayingRate recentArrivals = new DecayingRate(RECENT_MICROS);

    /** A request for this set has arrived. */
    void requestArrived(long now, InFlightRequest request) {
        (request.needsPrimary() ? primaryOnly : reads).add(now, request.work);
        arrivals.add(now, 1);
        recentArrivals.add(now, 1);
    }

    /** The work of reads that any member may take. */
    double readsPerSecond(long now, double assumedPerSecond) {
        return reads.perSecond(now, assumedPerSecond) * rise(now);
    }

    /** The work of requests that only the primary may take. */
    double primaryOnlyPerSecond(long now, double assumedPerSecond) {
        return primaryOnly.perSecond(now, assumedPerSecond) * rise(now);
    }

    /** By how much more comes lately than in the longer mean; 1 at least. */
    private double rise(long now) {
        double usual = arrivals.perSecond(now, 0) * RECENT_MICROS / MICROS_PER_SECOND;
        return Math.max(1, (recentArrivals.recentAmount(now) + CHANCE) / (usual + CHANCE));
    }
}
