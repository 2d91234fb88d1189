package mintstair.decision;

/**
 * Measures one request class: how long its successful attempts take, and how its priority compares with that of other
 * classes. Times are microseconds. Not safe for use by several threads.
 */
final class ClassStatistics {
    /** Weight of the newest latency in the mean and in the mean deviation. */
    static final double NEWEST_WEIGHT = 0.02;
    /**
     * Before any attempt is measured, the mean latency and the deviation are assumed to be the latency objective
     * divided by this.
     */
    private static final double OBJECTIVE_TO_ASSUMED_LATENCY = 5.0;
    /** Share of a concurrency limit that requests of the lowest priority may fill. */
    private static final double MIN_CAPACITY_SHARE = 0.8;

    final RequestClass requestClass;
    private double mean;
    /** The part of the mean that was measured; the rest is {@link #assumedShare} of the assumed latency. */
    private double measuredPart;

    private double deviation;
    /** The weight of the assumed latency in the mean; falls from 1 towards 0 as attempts are measured. */
    private double assumedShare = 1;

    private double priority = 1;
    private double capacityShare = 1;

    ClassStatistics(RequestClass requestClass) {
        this.requestClass = requestClass;
        mean = requestClass.latencyObjectiveMicros() / OBJECTIVE_TO_ASSUMED_LATENCY;
        deviation = mean;
    }

    /**
     * Copies the measurements that were made of the same class under the previous settings; the assumed part is
     * adjusted to the new latency objective.
     */
    void copyMeasurements(ClassStatistics previous) {
        long objectiveChange = requestClass.latencyObjectiveMicros() - previous.requestClass.latencyObjectiveMicros();
        assumedShare = previous.assumedShare;
        measuredPart = previous.measuredPart;
        mean = previous.mean + previous.assumedShare * objectiveChange / OBJECTIVE_TO_ASSUMED_LATENCY;
        deviation = Math.max(
                0, previous.deviation + previous.assumedShare * objectiveChange / OBJECTIVE_TO_ASSUMED_LATENCY);
    }

    /** Returns the priority weight for each microsecond of the latency objective. */
    double weightPerMicro() {
        return requestClass.priorityWeight() / requestClass.latencyObjectiveMicros();
    }

    /** Sets the priority relative to {@code maxWeightPerMicro}, the largest {@link #weightPerMicro} of all classes. */
    void setPriority(double maxWeightPerMicro) {
        priority = maxWeightPerMicro > 0 ? weightPerMicro() / maxWeightPerMicro : 1;
        boolean write = requestClass.consistency() == Consistency.WRITE;
        capacityShare = write ? 1 : MIN_CAPACITY_SHARE + (1 - MIN_CAPACITY_SHARE) * priority;
    }

    /** Records the latency of a successful attempt. */
    void recordLatency(long latency) {
        double difference = latency - mean;
        mean += NEWEST_WEIGHT * difference;
        measuredPart += NEWEST_WEIGHT * (latency - measuredPart);
        assumedShare *= 1 - NEWEST_WEIGHT;
        deviation += NEWEST_WEIGHT * (Math.abs(difference) - deviation);
    }

    /** Returns the mean latency of successful attempts. */
    double meanLatency() {
        return mean;
    }

    /** Returns the weight of the assumed latency in the mean, from 1 (nothing measured) to 0. */
    double assumedShare() {
        return assumedShare;
    }

    /** Returns the part of the mean that was measured. */
    double measuredPart() {
        return measuredPart;
    }

    /** Returns the latency that is {@code deviations} mean deviations above the mean. */
    double meanPlusDeviations(double deviations) {
        return mean + deviations * deviation;
    }

    /** Returns the priority relative to other classes, from 0 to 1. */
    double priority() {
        return priority;
    }

    /** Returns the share of a concurrency limit that requests of this class may fill, from 0 to 1. */
    double capacityShare() {
        return capacityShare;
    }
}
