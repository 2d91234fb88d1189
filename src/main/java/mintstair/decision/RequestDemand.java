package mintstair.decision;

/**
 * Measures the work that this router's clients demand of all replica sets together; for the unit see {@link
 * RequestWork}. Times are microseconds. Not safe for use by several threads.
 */
final class RequestDemand {
    private static final double RECENT_MICROS = 2_000_000;
    private static final double MICROS_PER_SECOND = 1e6;
    /** Weight of the newest request in the mean work. */
    private static final double NEWEST_WEIGHT = 0.02;

    private final DecayingRate recentWork = new DecayingRate(RECENT_MICROS);
    private double meanWork;

    /** Records that a request has arrived. */
    void requestArrived(long now, InFlightRequest request) {
        recentWork.add(now, request.work);
        meanWork = meanWork == 0 ? request.work : meanWork + NEWEST_WEIGHT * (request.work - meanWork);
    }

    /** Returns the work per second that clients have demanded recently. */
    double perSecond(long now) {
        return recentWork.recentAmount(now) * MICROS_PER_SECOND / RECENT_MICROS;
    }

    /** Returns the mean work of a request; 0 before the first. */
    double meanWork() {
        return meanWork;
    }
}
