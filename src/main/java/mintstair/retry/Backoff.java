package mintstair.retry;

import java.util.Random;

/**
 * Waits that double with each failure up to a cap, and by chance, so that proxies which failed together do not come again
 * together. Not safe for use by several threads.
 */
public final class Backoff {
    private final Random random;
    private final long first;
    private final long most;
    private final double sure;
    private int failures;

    /** Waits between half of {@code first} and {@code most} microseconds. */
    public Backoff(Random random, long first, long most) {
        this(random, first, most, 0.5);
    }

    /** Waits between a sure share of {@code first} and {@code most} microseconds; the smaller the share, the wider the spread. */
    public Backoff(Random random, long first, long most, double sure) {
        this.random = random;
        this.first = first;
        this.most = most;
        this.sure = sure;
    }

    /** How long to wait after one more failure. */
    public long next() {
        long span = Math.min(most, first << Math.min(failures++, 20));
        return (long) (span * (sure + random.nextDouble() * (1 - sure)));
    }

    /** It went well: the next failure is a first one. */
    public void reset() {
        failures = 0;
    }
}
