package mintstair.decision;

/**
 * This router's part of what all routers share: the connections, polls and requests that the endpoints can bear.
 *
 * <p>The part follows from the configured fleet size or, where routers know of each other, from the observed one. Not
 * safe for use by several threads.
 */
final class FleetShare {
    /**
     * Part of the shared capacity that is divided by the largest fleet size ever seen, whatever the routers know of
     * each other.
     */
    private static final double GUARANTEED_PART = 0.5;

    private int configuredSize;
    private FleetSize observed;

    /** Adopts the configured fleet size. */
    void apply(RouterSettings settings) {
        configuredSize = settings.fleetSize();
    }

    /** Adopts the observed fleet size; from now on the configured one is only a lower bound. */
    void observe(FleetSize size) {
        observed = size;
    }

    /**
     * The number of equal parts of which this router has one; the parts of all converged routers add up to one at
     * most.
     */
    double effectiveFleetSize() {
        if (observed == null) {
            return configuredSize;
        }
        double remainder = observed.settled() ? (1 - GUARANTEED_PART) / observed.counted() : 0;
        return 1 / (GUARANTEED_PART / Math.max(configuredSize, observed.largest()) + remainder);
    }
}
