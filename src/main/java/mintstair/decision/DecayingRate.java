package mintstair.decision;

/**
 * Measures the rate of events that each have an amount, with an exponential decay. While little time was observed, the
 * result is close to an assumed rate. Times are microseconds. Not safe for use by several threads.
 */
final class DecayingRate {
    private static final double MICROS_PER_SECOND = 1e6;
    /** The assumed rate weighs as much as this time of observation. */
    private static final double ASSUMED_MICROS = 2_000_000;

    private final double memoryMicros;
    private double amount;
    private double observedMicros;
    private long advancedAt = Endpoint.NEVER;

    /** Creates a rate with the time constant {@code memoryMicros}; the observation starts with the first call. */
    DecayingRate(double memoryMicros) {
        this.memoryMicros = memoryMicros;
    }

    /** Adds an amount at this time. */
    void add(long now, double added) {
        advance(now);
        amount += added;
    }

    /** Returns the sum of all amounts, each decayed by its age. */
    double recentAmount(long now) {
        advance(now);
        return amount;
    }

    /** Returns the amount per second. */
    double perSecond(long now, double assumedPerSecond) {
        advance(now);
        double assumed = assumedPerSecond * ASSUMED_MICROS / MICROS_PER_SECOND;
        return (amount + assumed) * MICROS_PER_SECOND / (observedMicros + ASSUMED_MICROS);
    }

    private void advance(long now) {
        long elapsed = advancedAt == Endpoint.NEVER ? 0 : now - advancedAt;
        advancedAt = Math.max(advancedAt, now);
        if (elapsed <= 0) {
            return;
        }
        double kept = Math.exp(-elapsed / memoryMicros);
        amount *= kept;
        observedMicros = observedMicros * kept + memoryMicros * (1 - kept);
    }
}
