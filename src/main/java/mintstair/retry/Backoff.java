package mintstair.retry;

import java.util.Random;

/**
 * Computes exponential backoff delays with jitter. Each delay is a random value between a fixed fraction of its upper
 * bound and that bound, which doubles with every consecutive failure up to a maximum. The jitter prevents clients that
 * failed at the same time from retrying at the same time. All delays are microseconds. Not thread-safe.
 */
public final class Backoff {
    private static final double DEFAULT_MIN_DELAY_FRACTION = 0.5;
    /** Limits the shift, so that the delay does not overflow after many failures. */
    private static final int MAX_DOUBLINGS = 20;

    private final Random random;
    private final long initialDelayMicros;
    private final long maxDelayMicros;
    private final double minDelayFraction;
    private int consecutiveFailures;

    /** Creates a backoff whose delays are at least half of their upper bound. */
    public Backoff(Random random, long initialDelayMicros, long maxDelayMicros) {
        this(random, initialDelayMicros, maxDelayMicros, DEFAULT_MIN_DELAY_FRACTION);
    }

    /**
     * Creates a backoff whose delays are at least a given fraction of their upper bound.
     *
     * @param random the source of the jitter
     * @param initialDelayMicros the upper bound of the delay after the first failure
     * @param maxDelayMicros the upper bound of all delays
     * @param minDelayFraction the lower bound of each delay, as a fraction of its upper bound from 0 to 1
     */
    public Backoff(Random random, long initialDelayMicros, long maxDelayMicros, double minDelayFraction) {
        this.random = random;
        this.initialDelayMicros = initialDelayMicros;
        this.maxDelayMicros = maxDelayMicros;
        this.minDelayFraction = minDelayFraction;
    }

    /** Records a failure and returns the delay before the next attempt, in microseconds. */
    public long nextDelayMicros() {
        int doublings = Math.min(consecutiveFailures++, MAX_DOUBLINGS);
        long upperBoundMicros = Math.min(maxDelayMicros, initialDelayMicros << doublings);
        return (long) (upperBoundMicros * (minDelayFraction + random.nextDouble() * (1 - minDelayFraction)));
    }

    /** Records a success, after which the next failure counts as the first. */
    public void reset() {
        consecutiveFailures = 0;
    }
}
