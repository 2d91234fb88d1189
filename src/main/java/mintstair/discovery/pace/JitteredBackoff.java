package mintstair.discovery.pace;

import java.util.Random;
import mintstair.retry.Backoff;

/**
 * Computes retry delays for a discovery service that the whole fleet shares. The service processes calls one at a time
 * and rejects those that have queued for too long, possibly after doing their work. Proxies whose calls failed together
 * must therefore spread their retries over a range that grows with the cost of the fleet's calls, which is proportional
 * to the number of proxies times the length of the list.
 *
 * <p>The range has an upper bound. Whatever the fleet size, a proxy must apply a change within
 * {@link WatchPacing#NOTIFICATION_DEADLINE_MICROS} of when the service had the change and was reachable, so the longest
 * delay and the time for a response must fit into that. 120 proxies that were rejected together thus make 30 calls per
 * second for 4 s. A service that takes up to 33 ms per call keeps up with them; one that takes more than 50 ms (6 s for
 * 120 calls) cannot respond to all of them in time in any order.
 *
 * <p>The first call of a process is never delayed: a proxy that has not received a list yet uses the one from its last
 * run, and the deadline applies to it as well. Not thread-safe.
 */
final class JitteredBackoff {
    /**
     * The time that the service takes per endpoint of a list. No setting states the actual cost; if it is higher, only
     * the first retries fail.
     */
    static final long COST_PER_ENDPOINT_MICROS = 4_000;
    /** The smallest upper bound of the first delay, which applies to short lists and few proxies. */
    static final long MIN_INITIAL_DELAY_MICROS = 100_000;
    /** The smallest upper bound of all delays, likewise. */
    static final long MIN_MAX_DELAY_MICROS = 2_000_000;
    /** The smallest delay as a fraction of its upper bound: low, so that proxies that failed together spread out. */
    private static final double MIN_DELAY_FRACTION = 0.1;

    /** The time that the service takes for one call of each proxy. */
    private final long fleetCostMicros;

    private final Random random;

    /** Creates the delays for a fleet of {@code proxies}, each of which is sent a list of {@code endpoints}. */
    JitteredBackoff(int proxies, int endpoints, Random random) {
        this.random = random;
        fleetCostMicros = (long) proxies * endpoints * COST_PER_ENDPOINT_MICROS;
    }

    /**
     * Returns a backoff whose delays are at most {@code maxDelayMicros}. The first delay is drawn from a range of twice
     * the cost of one call of each proxy, because the service may still be processing the calls that failed.
     */
    Backoff withMaxDelay(long maxDelayMicros) {
        long initialDelayMicros = Math.max(MIN_INITIAL_DELAY_MICROS, 2 * fleetCostMicros);
        long longestDelayMicros = Math.max(MIN_MAX_DELAY_MICROS, 4 * fleetCostMicros);
        return new Backoff(
                random,
                Math.min(maxDelayMicros, initialDelayMicros),
                Math.min(maxDelayMicros, longestDelayMicros),
                MIN_DELAY_FRACTION);
    }
}
