package mintstair.decision;

/**
 * The state of one database host as a member of one replica set: its entry in the endpoint list, and, in objects of
 * their own, its liveness, replication state, health checks and load. It makes no decisions. Times are in microseconds
 * on the router's clock. Not safe for use by several threads.
 */
final class Endpoint {
    /** The time of an event that has not happened: earlier than all other times. */
    static final long NEVER = Long.MIN_VALUE / 4;

    /** How long the state of a removed endpoint is kept, for the case that it is listed again. */
    private static final long REMOVED_RETENTION_MICROS = 10_000_000;

    final String name;
    final ReplicaSet replicaSet;
    /** The concurrency limit that applies while the endpoint is the primary. */
    final ConcurrencyLimit primaryLimit;

    final SlowStart slowStart = new SlowStart();
    final OutlierStatistics outliers = new OutlierStatistics();
    final Liveness liveness = new Liveness();
    final ReplicationState replication = new ReplicationState();
    final HealthCheckState healthCheck;
    /** The work of the attempts that this router has sent recently. */
    final SlidingWindow sentWork = new SlidingWindow();
    /** The number of attempts of this router that have not ended. */
    int inFlight;
    /** When it last rejected an attempt for lack of capacity. */
    long overloadedAt = NEVER;
    /** Its capacity relative to other endpoints, according to the endpoint list. */
    double capacityHint = 1;
    /** Its start time according to the endpoint list, on the hosts' clock; 0 if it started long ago. */
    long listedStartTime;

    private boolean serving;
    private boolean draining;
    private boolean removalIgnored;
    private long removedAt;

    Endpoint(String name, ReplicaSet replicaSet, ConcurrencyLimit primaryLimit, long firstCheckAt) {
        this.name = name;
        this.replicaSet = replicaSet;
        this.primaryLimit = primaryLimit;
        healthCheck = new HealthCheckState(firstCheckAt);
    }

    /** Applies an entry of the endpoint list with this state. */
    void listed(long now, EndpointState state, boolean removalIsAdvisory) {
        draining = state == EndpointState.DRAINING || (draining && state == EndpointState.REMOVED);
        serving = !draining;
        removalIgnored = false;
        removedAt = 0;
        if (state == EndpointState.REMOVED) {
            removed(now, removalIsAdvisory);
        }
    }

    /**
     * Applies a removal from the endpoint list. If removals are advisory and the endpoint is not draining, it stays in
     * use for as long as it replies.
     */
    void removed(long now, boolean removalIsAdvisory) {
        if (removalIsAdvisory && !draining) {
            removalIgnored = true;
            return;
        }
        if (removedAt == 0) {
            removedAt = now;
        }
        serving = false;
    }

    /** Ends its use as a member of this replica set, because it has moved to another one. */
    void stopServing() {
        serving = false;
    }

    /** Returns whether the endpoint list allows new attempts. */
    boolean isServing() {
        return serving;
    }

    /** Returns whether the endpoint stays in use although the list has removed it, because removals are advisory. */
    boolean isRemovalIgnored() {
        return removalIgnored;
    }

    /** Returns whether the endpoint is removed and not in use any more. */
    boolean isRemoved() {
        return removedAt != 0;
    }

    /**
     * Returns whether its state can be discarded: it was removed long ago and has no attempt of this router in flight.
     */
    boolean isExpired(long now) {
        return removedAt != 0 && now - removedAt >= REMOVED_RETENTION_MICROS && inFlight == 0;
    }

    /** Returns whether this router takes it for the primary of its replica set. */
    boolean isPrimary() {
        return replicaSet.primary == this;
    }

    /** Returns whether it gets trial requests at most, because it is unresponsive or most of its attempts fail. */
    boolean isEjected() {
        return liveness.isUnresponsive() || outliers.isFailing();
    }

    /** Returns whether it is warming up. */
    boolean isInSlowStart(long now, ProtectionSettings protection) {
        return slowStart.isActive() && slowStart.capacityShare(now, protection) < 1;
    }

    /** Returns the share of its capacity that may be used; below 1 during slow start. */
    double capacityShare(long now, ProtectionSettings protection) {
        return slowStart.capacityShare(now, protection);
    }
}
