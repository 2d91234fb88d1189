package mintstair.decision;

/**
 * Measures by how much one endpoint deviates from its peers: the share of attempts that fail, and the slowdown, which
 * is the latency as a multiple of the mean of the request class. Both decay with time. Times are microseconds. Not safe
 * for use by several threads.
 */
final class OutlierStatistics {
    /** An endpoint above this failure rate is ejected and gets only trial requests. */
    private static final double EJECTION_FAILURE_RATE = 0.5;

    private static final double HALF_LIFE_MICROS = 4_000_000;
    /** Weight of the newest attempt in the means; larger in the failure rate while few outcomes were recorded. */
    private static final double NEWEST_WEIGHT = 0.1;

    private static final double MAX_SLOWDOWN = 10;

    private double failureRate;
    /** The number of recorded outcomes, which decays with time. */
    private double outcomes;

    private double slowdown = 1;
    private long decayedAt;

    /** Decays all measurements up to this time; must be called before anything is recorded or read. */
    void decay(long now) {
        double kept = Math.exp(-(now - decayedAt) * Math.log(2) / HALF_LIFE_MICROS);
        failureRate *= kept;
        outcomes *= kept;
        slowdown = 1 + (slowdown - 1) * kept;
        decayedAt = now;
    }

    /** Records the latency of a successful attempt, as a multiple of the mean latency of its class. */
    void recordLatency(double multipleOfMean) {
        slowdown += NEWEST_WEIGHT * (Math.min(MAX_SLOWDOWN, multipleOfMean) - slowdown);
    }

    /** Records whether an attempt whose outcome is attributable to the endpoint failed. */
    void recordOutcome(boolean failed) {
        outcomes++;
        double weight = Math.max(NEWEST_WEIGHT, 1 / (1 + outcomes));
        failureRate += weight * ((failed ? 1 : 0) - failureRate);
    }

    /** Returns whether so many attempts fail that the endpoint gets only trial requests. */
    boolean isFailing() {
        return failureRate > EJECTION_FAILURE_RATE;
    }

    /** Returns the share of attempts that fail, from 0 to 1. */
    double failureRate() {
        return failureRate;
    }

    /** Returns the latency of replies as a multiple of the mean of their class; 1 where nothing is known. */
    double slowdown() {
        return slowdown;
    }
}
