package mintstair.decision;

/**
 * Decides whether a replica is recent enough for a read, by its last known position and lag. Positions and times are in
 * microseconds. Not safe for use by several threads.
 */
final class ReplicaFreshness {
    /** How long a reported lag is valid. */
    private static final long LAG_VALIDITY_MICROS = 2_000_000;
    /** For this long after a replica rejected a read for its lag, it is eligible only if proven recent enough. */
    private static final long MISDIRECTED_PENALTY_MICROS = 100_000;
    /** The number of attempts of a read that go to distinct replicas; later ones may go to the same replica again. */
    private static final int DISTINCT_ATTEMPTS = 3;

    private final PositionClock positions;
    private final ReplicationMonitor replication;
    private final FailureDetector failureDetector;

    ReplicaFreshness(PositionClock positions, ReplicationMonitor replication, FailureDetector failureDetector) {
        this.positions = positions;
        this.replication = replication;
        this.failureDetector = failureDetector;
    }

    /**
     * Returns the position that a replica must have reached to serve an attempt of the read that is sent at this time.
     * For a bounded read it advances with time.
     */
    long requiredPosition(long sentAt, InFlightRequest read) {
        if (read.requestClass().consistency() != Consistency.BOUNDED_STALENESS) {
            return read.sessionPosition;
        }
        if (!positions.hasTimeReference(read.request.replicaSet())) {
            return ReadRequirement.UNREACHABLE_POSITION;
        }
        return positions.currentPosition(sentAt) - read.requestClass().maxStalenessMicros();
    }

    /** Returns whether the replica may serve the read: it is proven recent enough and trusted to be alive. */
    boolean isProvenRecent(long now, Endpoint endpoint, InFlightRequest read, long requiredPosition) {
        return isRecentEnough(now, endpoint, read, new ReadRequirement(requiredPosition, 0, true));
    }

    /** Returns whether the replica meets this requirement and may serve the read. */
    boolean isRecentEnough(long now, Endpoint endpoint, InFlightRequest read, ReadRequirement requirement) {
        if (!endpoint.isServing() || endpoint.isPrimary()) {
            return false;
        }
        boolean isRecent =
                endpoint.replication.position >= requirement.position() || isPlausible(now, endpoint, requirement);
        return isRecent
                && (!requirement.trustedOnly() || failureDetector.isTrusted(now, endpoint))
                && !isExcluded(endpoint, read);
    }

    /** Returns whether the replica is probably recent enough, although that is not proven. */
    private boolean isPlausible(long now, Endpoint endpoint, ReadRequirement requirement) {
        ReplicationState state = endpoint.replication;
        if (requirement.tolerance() <= 0 || now - state.misdirectedAt <= MISDIRECTED_PENALTY_MICROS) {
            return false;
        }
        long allowedLag = positions.currentPosition(now) - requirement.position() + requirement.tolerance();
        return state.lag <= allowedLag || now - state.reportedAt > LAG_VALIDITY_MICROS;
    }

    /** Returns whether a report of the replica could prove it recent enough. */
    boolean canBeProvenRecent(long now, Endpoint endpoint, InFlightRequest read, long requiredPosition) {
        if (!endpoint.isServing() || endpoint.isPrimary() || isExcluded(endpoint, read)) {
            return false;
        }
        long currentPosition = positions.currentPosition(now);
        ReplicationState state = endpoint.replication;
        long allowedLag = currentPosition - requiredPosition + endpoint.replicaSet.reportAge();
        boolean isTooFarBehind = now - state.reportedAt < LAG_VALIDITY_MICROS && state.lag > allowedLag;
        return requiredPosition <= currentPosition - replication.minReportedLag() && !isTooFarBehind;
    }

    private static boolean isExcluded(Endpoint endpoint, InFlightRequest read) {
        return read.attempts() < DISTINCT_ATTEMPTS ? read.wasSentTo(endpoint) : read.isOutstandingAt(endpoint);
    }
}
