package mintstair.discovery.pace;

import java.util.Random;
import mintstair.retry.Backoff;

/**
 * Retry delays for a discovery service that the whole fleet shares. The service answers calls one after the other,
 * rejects those that have queued for too long, and may do their work all the same; proxies that failed together must
 * therefore retry spread over a range that grows with the cost of the fleet's calls, which is the number of proxies
 * times the length of the list.
 *
 * <p>The range has an upper bound: a proxy is held to a change {@link WatchPacing#NOTIFICATION_DEADLINE_MICROS} after
 * the service had it and was reachable, whatever the size of the fleet, so the longest delay and the time for a
 * response must fit into that. 120 proxies that were rejected together thus send 30 calls a second for 4 s. A service
 * that takes up to 33 ms for each call keeps up with them; one that takes more than 50 ms (6 s for 120) cannot answer
 * all of them in time in any order.
 *
 * <p>The first call of a process is never delayed: a proxy without a list is held to removals all the same, and would
 * keep using the list of its last run. Not thread-safe.
 */
final class JitteredBackoff {
    /**
     * Assumed, as no setting gives the service's cost of one endpoint; an underestimate only makes the first retries
     * fail.
     */
    static final long COST_PER_ENDPOINT_MICROS = 4_000;
    /** Lower bounds of the first and of the longest delay, for short lists and few proxies. */
    static final long MIN_INITIAL_DELAY_MICROS = 100_000;

    static final long MIN_MAX_DELAY_MICROS = 2_000_000;
    /** Nearly the whole range is jitter, so that proxies that failed together spread out. */
    private static final double FIXED_FRACTION = 0.1;

    private final long fleetCostMicros;
    private final Random random;

    /** For a fleet of this many proxies, each of which is sent a list of this many endpoints. */
    JitteredBackoff(int proxies, int endpoints, Random random) {
        this.random = random;
        fleetCostMicros = (long) proxies * endpoints * COST_PER_ENDPOINT_MICROS;
    }

    /**
     * Delays of at most {@code maxDelayMicros}. The first range is twice what one call of each proxy costs, as the
     * service may still be working on the calls that failed.
     */
    Backoff upTo(long maxDelayMicros) {
        long initialMicros = Math.max(MIN_INITIAL_DELAY_MICROS, 2 * fleetCostMicros);
        long longestMicros = Math.max(MIN_MAX_DELAY_MICROS, 4 * fleetCostMicros);
        return new Backoff(
                random,
                Math.min(maxDelayMicros, initialMicros),
                Math.min(maxDelayMicros, longestMicros),
                FIXED_FRACTION);
    }
}
