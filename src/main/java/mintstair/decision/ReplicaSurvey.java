package mintstair.decision;

/**
 * The replicas of one set together, without those that are unresponsive.
 *
 * @param inFlight attempts of this router in flight at them
 * @param trustedCapacity how many warm replicas they count for
 * @param meanSlowdown their mean latency over what is usual
 */
record ReplicaSurvey(double inFlight, double trustedCapacity, double meanSlowdown) {
    /** The least trusted capacity, so that it can be divided by. */
    static final double MIN_CAPACITY = 1e-6;

    /** Attempts in flight for each warm replica. */
    double inFlightPerReplica() {
        return inFlight / trustedCapacity;
    }

    /** What one more attempt adds to {@link #inFlightPerReplica}. */
    double increasePerAttempt() {
        return 1 / trustedCapacity;
    }
}
