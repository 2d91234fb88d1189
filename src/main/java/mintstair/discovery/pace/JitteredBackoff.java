package mintstair.discovery.pace;

import java.util.Random;
import mintstair.retry.Backoff;

/**
 * When a proxy calls discovery again after a call that was turned away, so that all proxies together do not come at once; without
 * I/O. The list is one service for all: calls wait there in turn, what has waited for too long is turned away, and the work for it
 * may be done all the same. So calls that failed together are to come apart, over a span that grows with what all proxies' calls
 * cost: their number times the lines of the list. But what a proxy has missed counts as told {@link WatchPacing#COUNTS} after the
 * service had it and could be reached, for a fleet of any size: the longest wait and the time for an answer fit into that. 120
 * proxies that were turned away together so make 30 calls a second for 4 s. A service that needs up to 33 ms for each keeps up with
 * them; one that needs more than 50 ms (6 s for 120) could not tell all of them in time in whatever order they came.
 * The first call of a process is never put off: one that has not asked counts as told of what drains or is gone, and would go on
 * sending there by the list as last known.
 */
final class JitteredBackoff {
    /** An assumption, as no setting tells what a line costs the service; too little only makes the first calls fail. */
    static final long LINE = 4_000;
    /** The least wait after a call that was turned away, and the longest, where lists are short and proxies few. */
    static final long RETRY = 100_000;

    static final long RETRY_MOST = 2_000_000;
    /** Waits are drawn from nearly their whole span: those that failed together come apart. */
    private static final double SURE = 0.1;

    private final long round;
    private final Random random;

    /** For so many proxies, each of which would be sent so many lines. */
    JitteredBackoff(int proxies, int lines, Random random) {
        this.random = random;
        round = (long) proxies * lines * LINE;
    }

    /** Waits of no more than {@code longest}: the first spans two rounds, as the calls of all that failed may still be worked on. */
    Backoff upTo(long longest) {
        return new Backoff(
                random,
                Math.min(longest, Math.max(RETRY, 2 * round)),
                Math.min(longest, Math.max(RETRY_MOST, 4 * round)),
                SURE);
    }
}
