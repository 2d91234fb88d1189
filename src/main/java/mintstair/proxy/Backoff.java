package mintstair.proxy;

import java.util.Random;

/** Waits that double with each failure up to a cap, and by chance, so that proxies which failed together do not come again together. */
public final class Backoff {
    private final Random random;
    private final long first;
    private final long most;
    private int failures;

    /** Waits between half of {@code first} and {@code most} microseconds. */
    public Backoff(Random random, long first, long most) {
        this.random = random;
        this.first = first;
        this.most = most;
    }

    /** How long to wait after one more failure. */
    public long next() {
        long span = Math.min(most, first << Math.min(failures++, 20));
        return span / 2 + (long) (random.nextDouble() * span / 2);
    }

    /** It went well: the next failure is a first one. */
    public void reset() {
        failures = 0;
    }
}
