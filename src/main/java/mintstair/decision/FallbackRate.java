package mintstair.decision;

/**
 * The part of reads that fall back to the primary, as no replica is known to be recent enough; an exponentially
 * weighted mean.
 */
final class FallbackRate {
    private static final double NEWEST_WEIGHT = 0.1;

    private double rate;

    /** A read was decided on for the first time. */
    void record(boolean fellBack) {
        rate += NEWEST_WEIGHT * ((fellBack ? 1 : 0) - rate);
    }

    /** From 0 to 1. */
    double rate() {
        return rate;
    }
}
