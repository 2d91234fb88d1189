package mintstair.decision;

/**
 * The concurrency limits over all replica sets, which are used in place of that of a single replica set while it has
 * few samples. Not safe for use by several threads.
 *
 * @param primaries the limit of one primary, adapted to the samples of all primaries
 * @param replicas the limit of one replica, adapted to the samples of all replicas
 */
record PooledLimits(ConcurrencyLimit primaries, ConcurrencyLimit replicas) {
    /** Slow replies alone do not lower the limit of a primary below one request: writes have no other endpoint. */
    private static final double PRIMARY_SLOW_REPLY_FLOOR = 1;

    private static final double REPLICA_SLOW_REPLY_FLOOR = 0;

    /** Creates limits without samples. */
    static PooledLimits create(double fleetSize) {
        return new PooledLimits(
                new ConcurrencyLimit(fleetSize, null, PRIMARY_SLOW_REPLY_FLOOR),
                new ConcurrencyLimit(fleetSize, null, REPLICA_SLOW_REPLY_FLOOR));
    }

    /** Creates the limit that applies to an endpoint while it is a primary. */
    ConcurrencyLimit newPrimaryLimit(double fleetSize) {
        return new ConcurrencyLimit(fleetSize, primaries, PRIMARY_SLOW_REPLY_FLOOR);
    }

    /** Creates the limit that applies to each replica of a replica set. */
    ConcurrencyLimit newReplicaLimit(double fleetSize) {
        return new ConcurrencyLimit(fleetSize, replicas, REPLICA_SLOW_REPLY_FLOOR);
    }

    /** Changes the number of routers that share the hosts. */
    void setFleetSize(double fleetSize) {
        primaries.setFleetSize(fleetSize);
        replicas.setFleetSize(fleetSize);
    }

    /**
     * Returns the headroom of replicas: 1 where they reply immediately, 0 where the mean latency is at its target or
     * above.
     */
    double replicaHeadroom() {
        return Math.max(0, 1 - replicas.meanLatencyRatio() / ConcurrencyLimit.TARGET_LATENCY_RATIO);
    }
}
