package mintstair.decision;

/**
 * What is known of one class of requests: how long its successful attempts take, and how its requests rank against
 * those of other classes. Times are microseconds. Not safe for use by several threads.
 */
final class ClassStatistics {
    /** Weight of the newest latency in the mean and in the mean deviation. */
    static final double NEWEST_WEIGHT = 0.02;
    /**
     * Before any attempt is measured, the mean latency and the deviation are assumed to be the objective divided by
     * this.
     */
    private static final double OBJECTIVE_TO_ASSUMED_LATENCY = 5.0;
    /** Part of a concurrency limit that requests of the least priority may fill. */
    private static final double MIN_CAPACITY_SHARE = 0.8;

    final RequestClass requestClass;
    private double mean;
    /** What was measured of the mean: all of it but what the assumption still stands for. */
    private double measuredPart;

    private double deviation;
    /** How much of the mean still rests on the assumption, from 1 to 0. */
    private double assumedShare = 1;

    private double priority = 1;
    private double capacityShare = 1;

    ClassStatistics(RequestClass requestClass) {
        this.requestClass = requestClass;
        mean = requestClass.latencyObjectiveMicros() / OBJECTIVE_TO_ASSUMED_LATENCY;
        deviation = mean;
    }

    /**
     * Takes over what attempts have shown under former settings of the same class; what was assumed is assumed anew.
     */
    void inherit(ClassStatistics former) {
        long objectiveChange = requestClass.latencyObjectiveMicros() - former.requestClass.latencyObjectiveMicros();
        assumedShare = former.assumedShare;
        measuredPart = former.measuredPart;
        mean = former.mean + former.assumedShare * objectiveChange / OBJECTIVE_TO_ASSUMED_LATENCY;
        deviation =
                Math.max(0, former.deviation + former.assumedShare * objectiveChange / OBJECTIVE_TO_ASSUMED_LATENCY);
    }

    /** The priority weight for each microsecond of the latency objective. */
    double weightPerMicro() {
        return requestClass.priorityWeight() / requestClass.latencyObjectiveMicros();
    }

    /** Ranks the class: {@code highest} is the largest {@link #weightPerMicro} of all classes. */
    void rank(double highest) {
        priority = highest > 0 ? weightPerMicro() / highest : 1;
        boolean write = requestClass.consistency() == Consistency.WRITE;
        capacityShare = write ? 1 : MIN_CAPACITY_SHARE + (1 - MIN_CAPACITY_SHARE) * priority;
    }

    /** A successful attempt took this long. */
    void recordLatency(long latency) {
        double difference = latency - mean;
        mean += NEWEST_WEIGHT * difference;
        measuredPart += NEWEST_WEIGHT * (latency - measuredPart);
        assumedShare *= 1 - NEWEST_WEIGHT;
        deviation += NEWEST_WEIGHT * (Math.abs(difference) - deviation);
    }

    /** The mean latency of successful attempts. */
    double meanLatency() {
        return mean;
    }

    /** How much of the mean rests on what was assumed, from 1 to 0. */
    double assumedShare() {
        return assumedShare;
    }

    /** The part of the mean that was measured. */
    double measuredPart() {
        return measuredPart;
    }

    /** A latency that is {@code deviations} mean deviations above the mean. */
    double meanPlusDeviations(double deviations) {
        return mean + deviations * deviation;
    }

    /** The priority against other classes, from 0 to 1. */
    double priority() {
        return priority;
    }

    /** Part of a concurrency limit that its requests may fill, from 0 to 1. */
    double capacityShare() {
        return capacityShare;
    }
}
