package mintstair.decision;

/**
 * The symptoms of one host, as its answers show them: how many of them fail, and how much longer they take than is usual for their class.
 * Both fade with time. Times are microseconds. Not safe for use by several threads.
 */
final class HostHealth {
    /** Past this share of failures a host gets only trial traffic. */
    private static final double FAILING = 0.5;

    private static final double HALF_LIFE = 4_000_000;
    /** Weight of an answer in the means. */
    private static final double NEWEST = 0.1;

    private static final double MOST_STRETCH = 10;

    private double failures;
    private double outcomes;
    private double stretch = 1;
    private long fadedAt;

    /** Lets what was seen fade up to this time; due before anything is read or added. */
    void fade(long now) {
        double kept = Math.exp(-(now - fadedAt) * Math.log(2) / HALF_LIFE);
        failures *= kept;
        outcomes *= kept;
        stretch = 1 + (stretch - 1) * kept;
        fadedAt = now;
    }

    /** An answer took this many times the usual time of its class. */
    void answered(double timesUsual) {
        stretch += NEWEST * (Math.min(MOST_STRETCH, timesUsual) - stretch);
    }

    /** An attempt ended well or badly, by the host's own doing. */
    void ended(boolean badly) {
        outcomes++;
        failures += Math.max(NEWEST, 1 / (1 + outcomes)) * ((badly ? 1 : 0) - failures);
    }

    /** Whether so much fails that the host gets only trial traffic. */
    boolean isFailing() {
        return failures > FAILING;
    }

    /** The share of attempts that fail, from 0 to 1. */
    double failures() {
        return failures;
    }

    /** How many times the usual time its answers take; 1 where nothing is known. */
    double stretch() {
        return stretch;
    }
}
