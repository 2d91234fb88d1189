package mintstair.decision;

/**
 * What is known of one database host, as a member of one replica set: what the endpoint list says of it, and, in
 * parts of their own, its liveness, its replication position, its health checks and its load. State without
 * decisions; times are microseconds on the router's clock. Not safe for use by several threads.
 */
final class Endpoint {
    /** A time before all others. */
    static final long NEVER = Long.MIN_VALUE / 4;

    /** How long an endpoint that was removed from the list is remembered, should it come back. */
    private static final long REMEMBERED_MICROS = 10_000_000;

    final String name;
    final ReplicaSet replicaSet;
    /** Its concurrency limit while it is the primary. */
    final ConcurrencyLimit primaryLimit;

    final SlowStart slowStart = new SlowStart();
    final OutlierStatistics outliers = new OutlierStatistics();
    final Liveness liveness = new Liveness();
    final ReplicationState replication = new ReplicationState();
    final HealthCheckState healthCheck;
    /** The work of the attempts that this router sent it lately. */
    final SlidingWindow sentWork = new SlidingWindow();
    /** Attempts of this router that have not ended. */
    int inFlight;
    /** When it last rejected an attempt for want of capacity. */
    long overloadedAt = NEVER;
    /** Its size by the endpoint list, beside those of others. */
    double capacityHint = 1;
    /** Its start by the endpoint list, on the hosts' clock; 0 where it started long ago. */
    long listedStartTime;

    private boolean serving;
    private boolean draining;
    private boolean removalDoubted;
    private long removedAt;

    Endpoint(String name, ReplicaSet replicaSet, ConcurrencyLimit primaryLimit, long firstCheckAt) {
        this.name = name;
        this.replicaSet = replicaSet;
        this.primaryLimit = primaryLimit;
        healthCheck = new HealthCheckState(firstCheckAt);
    }

    /** The endpoint list names it with this state. */
    void listed(long now, EndpointState state, boolean removalIsAdvisory) {
        draining = state == EndpointState.DRAINING || (draining && state == EndpointState.REMOVED);
        serving = !draining;
        removalDoubted = false;
        removedAt = 0;
        if (state == EndpointState.REMOVED) {
            removed(now, removalIsAdvisory);
        }
    }

    /** The endpoint list no longer names it; where removal is advisory it stays in use as long as it answers. */
    void removed(long now, boolean removalIsAdvisory) {
        if (removalIsAdvisory && !draining) {
            removalDoubted = true;
            return;
        }
        if (removedAt == 0) {
            removedAt = now;
        }
        serving = false;
    }

    /** It has moved to another replica set: this one must not use it any more. */
    void stopServing() {
        serving = false;
    }

    /** Whether new attempts may be sent to it, as far as the endpoint list goes. */
    boolean isServing() {
        return serving;
    }

    /** Whether the list has removed it, and it is used all the same as the removal is advisory. */
    boolean isRemovalIgnored() {
        return removalDoubted;
    }

    /** Whether the list has removed it. */
    boolean isRemoved() {
        return removedAt != 0;
    }

    /** Whether it was removed long ago and nothing of this router is in flight there. */
    boolean isExpired(long now) {
        return removedAt != 0 && now - removedAt >= REMEMBERED_MICROS && inFlight == 0;
    }

    /** Whether it is the believed primary of its replica set. */
    boolean isPrimary() {
        return replicaSet.primary == this;
    }

    /** Whether it is in use, for trial requests at most: unresponsive, or most of its attempts fail. */
    boolean isEjected() {
        return liveness.isUnresponsive() || outliers.isFailing();
    }

    /** Whether it is warming up now. */
    boolean isInSlowStart(long now, ProtectionSettings protection) {
        return slowStart.isActive() && slowStart.capacityShare(now, protection) < 1;
    }

    /** The share of its capacity that it can be trusted with, below 1 during slow start. */
    double capacityShare(long now, ProtectionSettings protection) {
        return slowStart.capacityShare(now, protection);
    }
}
