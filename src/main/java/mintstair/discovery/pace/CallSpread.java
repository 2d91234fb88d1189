package mintstair.discovery.pace;

import java.util.Random;
import mintstair.retry.Backoff;

/**
 * When a proxy calls discovery again after a call that failed, so that all proxies together do not ask for more than it can
 * answer; without I/O. The list is one service for all: calls wait there in turn, what has waited for too long is turned away, and the work for it is done
 * all the same. Proxies that start together and come again at once when turned away keep it busy with answers that nobody
 * waits for. What a call costs grows with the lines of the list, what all cost with the number of proxies.
 * The first call of a process is never put off: one that has not asked counts as told of what drains or is gone, and would go on
 * sending there by the list as last known.
 */
final class CallSpread {
    /** An assumption, as no setting tells what a line costs the service; too little only makes the first calls fail. */
    static final long LINE = 4_000;
    /** The least wait after a call that was turned away, and the longest, where lists are short and proxies few. */
    static final long RETRY = 100_000;
    static final long RETRY_MOST = 2_000_000;
    /** Nobody waits for longer than this, whatever is listed: a list of any length must not put a proxy off for good. */
    static final long LONGEST = 16_000_000;
    /** Waits are drawn from nearly their whole span: those that failed together come apart. */
    private static final double SURE = 0.1;

    private final long round;
    private final Random random;

    /** For so many proxies, each of which would be sent so many lines. */
    CallSpread(int proxies, int lines, Random random) {
        this.random = random;
        round = Math.min(LONGEST / 4, (long) proxies * lines * LINE);
    }

    /** Waits after calls that failed: the first spans two rounds, as the calls of all that failed are still worked on. */
    Backoff retries() {
        return new Backoff(random, Math.max(RETRY, 2 * round), Math.max(RETRY_MOST, 4 * round), SURE);
    }
}
