package mintstair.decision;

/**
 * The number of routers in the fleet, as one router observes it.
 *
 * @param largest the largest number observed or configured so far
 * @param counted the number of routers that may be running and know of each other
 * @param settled whether this router's count has converged; only if all routers that may be running have converged do
 *     they count each other
 */
public record FleetSize(int largest, int counted, boolean settled) {}
