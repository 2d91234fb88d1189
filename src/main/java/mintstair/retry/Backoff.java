package mintstair.retry;

import java.util.Random;

/**
 * Exponential backoff with jitter: each delay is drawn at random from a range that doubles with every consecutive
 * failure, up to a cap. The jitter keeps clients that failed at the same moment from retrying at the same moment. All
 * delays are microseconds. Not thread-safe.
 */
public final class Backoff {
    private static final double DEFAULT_FIXED_FRACTION = 0.5;
    /** Bounds the shift, so that doubling cannot overflow after many failures. */
    private static final int MAX_DOUBLINGS = 20;

    private final Random random;
    private final long initialDelayMicros;
    private final long maxDelayMicros;
    private final double fixedFraction;
    private int consecutiveFailures;

    /** Draws each delay from the upper half of its range, which grows from the initial to the maximum delay. */
    public Backoff(Random random, long initialDelayMicros, long maxDelayMicros) {
        this(random, initialDelayMicros, maxDelayMicros, DEFAULT_FIXED_FRACTION);
    }

    /**
     * Draws each delay from a range that grows from the initial to the maximum delay.
     *
     * @param fixedFraction the part of the range, from 0 to 1, that every delay has at least; the rest is jitter
     */
    public Backoff(Random random, long initialDelayMicros, long maxDelayMicros, double fixedFraction) {
        this.random = random;
        this.initialDelayMicros = initialDelayMicros;
        this.maxDelayMicros = maxDelayMicros;
        this.fixedFraction = fixedFraction;
    }

    /** Records one more failure and returns the delay before the next attempt, in microseconds. */
    public long nextDelayMicros() {
        int doublings = Math.min(consecutiveFailures++, MAX_DOUBLINGS);
        long rangeMicros = Math.min(maxDelayMicros, initialDelayMicros << doublings);
        return (long) (rangeMicros * (fixedFraction + random.nextDouble() * (1 - fixedFraction)));
    }

    /** Records a success: the next failure counts as the first. */
    public void reset() {
        consecutiveFailures = 0;
    }
}
