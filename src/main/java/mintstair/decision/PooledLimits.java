package mintstair.decision;

/**
 * The concurrency limits over all replica sets, which stand in for those of a single one as long as that has little
 * evidence.
 *
 * @param primaries the limit of one primary, learned from all of them
 * @param replicas the limit of one replica, learned from all of them
 */
record PooledLimits(ConcurrencyLimit primaries, ConcurrencyLimit replicas) {
    /** Slow answers alone leave a primary one request in flight: writes have no other place. */
    private static final double MIN_AT_PRIMARY = 1;

    private static final double MIN_AT_REPLICA = 0;

    static PooledLimits create(double fleetSize) {
        return new PooledLimits(
                new ConcurrencyLimit(fleetSize, null, MIN_AT_PRIMARY),
                new ConcurrencyLimit(fleetSize, null, MIN_AT_REPLICA));
    }

    /** The limit of an endpoint while it is a primary. */
    ConcurrencyLimit newPrimaryLimit(double fleetSize) {
        return new ConcurrencyLimit(fleetSize, primaries, MIN_AT_PRIMARY);
    }

    /** The limit of each replica of a replica set. */
    ConcurrencyLimit newReplicaLimit(double fleetSize) {
        return new ConcurrencyLimit(fleetSize, replicas, MIN_AT_REPLICA);
    }

    /** Adopts another fleet size. */
    void setFleetSize(double fleetSize) {
        primaries.setFleetSize(fleetSize);
        replicas.setFleetSize(fleetSize);
    }

    /**
     * How swift replicas are: 1 where they answer at once, 0 where answers take their whole share of the objectives.
     */
    double replicaSlack() {
        return Math.max(0, 1 - replicas.answerTime() / ConcurrencyLimit.STRAIN_AIM);
    }
}
