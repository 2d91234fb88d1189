package mintstair.decision;

/**
 * The state of all responsive replicas of one set together.
 *
 * @param inFlight the number of attempts of this router in flight at them
 * @param trustedCapacity their capacity, as a number of warm replicas
 * @param meanSlowdown the mean of their latencies relative to the usual ones
 */
record ReplicaSurvey(double inFlight, double trustedCapacity, double meanSlowdown) {
    /** The smallest value of the capacity, which is used as a divisor. */
    static final double MIN_CAPACITY = 1e-6;

    /** Returns the number of attempts in flight per warm replica. */
    double inFlightPerReplica() {
        return inFlight / trustedCapacity;
    }

    /** Returns by how much one more attempt increases {@link #inFlightPerReplica}. */
    double increasePerAttempt() {
        return 1 / trustedCapacity;
    }
}
