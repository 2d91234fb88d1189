package mintstair.decision;

/**
 * Tells whether a replica is recent enough for a read, as far as known. Positions and times are microseconds. Not
 * safe for use by several threads.
 */
final class ReplicaFreshness {
    /** A lag that was measured longer ago says nothing. */
    private static final long LAG_VALID_MICROS = 2_000_000;
    /** A replica that rejected a read for its lag is not guessed to be recent for so long. */
    private static final long AFTER_MISDIRECTED_MICROS = 100_000;
    /** So many attempts may not meet the same replica twice; later ones may. */
    private static final int DISTINCT_ATTEMPTS = 3;

    private final PositionClock positions;
    private final ReplicationMonitor replication;
    private final FailureDetector failureDetector;

    ReplicaFreshness(PositionClock positions, ReplicationMonitor replication, FailureDetector failureDetector) {
        this.positions = positions;
        this.replication = replication;
        this.failureDetector = failureDetector;
    }

    /** The position that an attempt sent at this time must find; that of a bounded read moves on with the time. */
    long requiredPosition(long sentAt, InFlightRequest read) {
        if (read.requestClass().consistency() != Consistency.BOUNDED_STALENESS) {
            return read.sessionPosition;
        }
        if (!positions.hasTimeReference(read.request.replicaSet())) {
            return ReadRequirement.UNREACHABLE_POSITION;
        }
        return positions.currentPosition(sentAt) - read.requestClass().maxStalenessMicros();
    }

    /** Whether the replica may take the read: it has proven to be recent enough, and is trusted to be alive. */
    boolean isProvenRecent(long now, Endpoint endpoint, InFlightRequest read, long requiredPosition) {
        return isRecentEnough(now, endpoint, read, new ReadRequirement(requiredPosition, 0, true));
    }

    /** Whether the replica may take the read, by this requirement. */
    boolean isRecentEnough(long now, Endpoint endpoint, InFlightRequest read, ReadRequirement requirement) {
        if (!endpoint.isServing() || endpoint.isPrimary()) {
            return false;
        }
        boolean recent =
                endpoint.replication.position >= requirement.position() || isPlausible(now, endpoint, requirement);
        return recent
                && (!requirement.trustedOnly() || failureDetector.isTrusted(now, endpoint))
                && !isExcluded(endpoint, read);
    }

    /** Whether the replica is likely to be recent enough, though it has not proven so. */
    private boolean isPlausible(long now, Endpoint endpoint, ReadRequirement requirement) {
        ReplicationState state = endpoint.replication;
        if (requirement.tolerance() <= 0 || now - state.misdirectedAt <= AFTER_MISDIRECTED_MICROS) {
            return false;
        }
        long allowedLag = positions.currentPosition(now) - requirement.position() + requirement.tolerance();
        return state.lag <= allowedLag || now - state.reportedAt > LAG_VALID_MICROS;
    }

    /** Whether a report of the replica could prove it recent enough. */
    boolean canBeProvenRecent(long now, Endpoint endpoint, InFlightRequest read, long requiredPosition) {
        if (!endpoint.isServing() || endpoint.isPrimary() || isExcluded(endpoint, read)) {
            return false;
        }
        long present = positions.currentPosition(now);
        ReplicationState state = endpoint.replication;
        long allowedLag = present - requiredPosition + endpoint.replicaSet.reportAge();
        boolean behind = now - state.reportedAt < LAG_VALID_MICROS && state.lag > allowedLag;
        return requiredPosition <= present - replication.minReportedLag() && !behind;
    }

    private static boolean isExcluded(Endpoint endpoint, InFlightRequest read) {
        return read.attempts() < DISTINCT_ATTEMPTS ? read.wasSentTo(endpoint) : read.isOutstandingAt(endpoint);
    }
}
