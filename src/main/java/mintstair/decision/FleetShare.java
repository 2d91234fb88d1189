package mintstair.decision;

/**
 * Computes this router's share of the capacity that all routers use together: the connections, polls and requests that
 * the endpoints can handle.
 *
 * <p>The share follows from the configured fleet size or, where routers observe each other, from the observed one. Not
 * safe for use by several threads.
 */
final class FleetShare {
    /**
     * Part of the shared capacity that is divided by the largest fleet size ever observed, whatever the current
     * observation is.
     */
    private static final double GUARANTEED_PART = 0.5;

    private int configuredSize;
    private FleetSize observed;

    /** Applies the configured fleet size. */
    void apply(RouterSettings settings) {
        configuredSize = settings.fleetSize();
    }

    /** Applies the observed fleet size; from now on the configured one is only a lower bound. */
    void observe(FleetSize size) {
        observed = size;
    }

    /**
     * Returns the number of equal shares of which this router has one; the shares of all converged routers add up to
     * one at most.
     */
    double effectiveFleetSize() {
        if (observed == null) {
            return configuredSize;
        }
        double remainder = observed.settled() ? (1 - GUARANTEED_PART) / observed.counted() : 0;
        return 1 / (GUARANTEED_PART / Math.max(configuredSize, observed.largest()) + remainder);
    }
}
