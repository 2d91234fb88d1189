package mintstair.decision;

/**
 * The symptoms of one endpoint, as its answers show them: how many attempts fail, and how much longer they take than
 * is usual for their class. Both decay with time. Times are microseconds. Not safe for use by several threads.
 */
final class OutlierStatistics {
    /** Past this failure rate an endpoint is ejected: it gets only trial requests. */
    private static final double EJECTION_FAILURE_RATE = 0.5;

    private static final double HALF_LIFE_MICROS = 4_000_000;
    /** Weight of the newest answer in the means. */
    private static final double NEWEST_WEIGHT = 0.1;

    private static final double MAX_SLOWDOWN = 10;

    private double failureRate;
    private double outcomes;
    private double slowdown = 1;
    private long decayedAt;

    /** Lets what was seen decay up to this time; due before anything is read or added. */
    void decay(long now) {
        double kept = Math.exp(-(now - decayedAt) * Math.log(2) / HALF_LIFE_MICROS);
        failureRate *= kept;
        outcomes *= kept;
        slowdown = 1 + (slowdown - 1) * kept;
        decayedAt = now;
    }

    /** An attempt was answered in this many times the mean latency of its class. */
    void recordLatency(double timesMean) {
        slowdown += NEWEST_WEIGHT * (Math.min(MAX_SLOWDOWN, timesMean) - slowdown);
    }

    /** An attempt ended by the endpoint's own doing, well or badly. */
    void recordOutcome(boolean failed) {
        outcomes++;
        double weight = Math.max(NEWEST_WEIGHT, 1 / (1 + outcomes));
        failureRate += weight * ((failed ? 1 : 0) - failureRate);
    }

    /** Whether so many attempts fail that the endpoint gets only trial requests. */
    boolean isFailing() {
        return failureRate > EJECTION_FAILURE_RATE;
    }

    /** The share of attempts that fail, from 0 to 1. */
    double failureRate() {
        return failureRate;
    }

    /** How many times the usual latency its answers take; 1 where nothing is known. */
    double slowdown() {
        return slowdown;
    }
}
