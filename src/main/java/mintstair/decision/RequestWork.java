package mintstair.decision;

/**
 * How much work a request of a class is for a host, as a multiple of the mean request. Latencies tell it: those of a
 * class beside those of all classes at the same time, so that hosts that become slow do not change it. A class of which
 * nothing was measured counts as the mean, whatever its objective is. Not safe for use by several threads.
 */
final class RequestWork {
    /** Weight of the newest latency in the mean over all classes, as in that of each class. */
    private static final double NEWEST_WEIGHT = ClassStatistics.NEWEST_WEIGHT;
    /** A class never counts as less, however swift its requests are. */
    private static final double LEAST_WORK = 0.05;

    private double weightedLatencies;
    private double weight;

    /** A successful attempt took this long. */
    void recordLatency(long latency) {
        weightedLatencies += NEWEST_WEIGHT * (latency - weightedLatencies);
        weight += NEWEST_WEIGHT * (1 - weight);
    }

    /** The work of a request of this class. */
    double of(ClassStatistics statistics) {
        if (weightedLatencies <= 0) {
            return 1;
        }
        double meanLatency = weightedLatencies / weight;
        return Math.max(LEAST_WORK, statistics.assumedShare() + statistics.measuredPart() / meanLatency);
    }
}
