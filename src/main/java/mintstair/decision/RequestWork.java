package mintstair.decision;

/**
 * Estimates the work that a request of a class is for a host, as a multiple of the work of the mean request. The
 * estimate is the mean latency of the class divided by that of all classes at the same time, so that hosts that become
 * slow do not change it. A class without measurements counts as the mean, whatever its latency objective is. Not safe
 * for use by several threads.
 */
final class RequestWork {
    /** Weight of the newest latency in the mean over all classes, the same as in the mean of each class. */
    private static final double NEWEST_WEIGHT = ClassStatistics.NEWEST_WEIGHT;
    /** Lower bound of the work of a class, however fast its requests are. */
    private static final double MIN_WORK = 0.05;

    private double weightedLatencies;
    private double weight;

    /** Records the latency of a successful attempt of any class. */
    void recordLatency(long latency) {
        weightedLatencies += NEWEST_WEIGHT * (latency - weightedLatencies);
        weight += NEWEST_WEIGHT * (1 - weight);
    }

    /** Returns the work of a request of this class. */
    double of(ClassStatistics statistics) {
        if (weightedLatencies <= 0) {
            return 1;
        }
        double meanLatency = weightedLatencies / weight;
        return Math.max(MIN_WORK, statistics.assumedShare() + statistics.measuredPart() / meanLatency);
    }
}
