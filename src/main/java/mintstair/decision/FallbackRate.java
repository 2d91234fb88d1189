package mintstair.decision;

/**
 * Measures the share of reads that fall back to the primary because no replica is known to be recent enough, as an
 * exponentially weighted mean. Not safe for use by several threads.
 */
final class FallbackRate {
    private static final double NEWEST_WEIGHT = 0.1;

    private double rate;

    /** Records the first routing decision on a read. */
    void record(boolean fellBack) {
        rate += NEWEST_WEIGHT * ((fellBack ? 1 : 0) - rate);
    }

    /** Returns the share of reads that fall back, from 0 to 1. */
    double rate() {
        return rate;
    }
}
