package mintstair.decision;

/** The last known replication position, lag and role of one endpoint. Positions and times are in microseconds. */
final class ReplicationState {
    /** The newest position that it is known to have reached. */
    long position = Positions.UNKNOWN;
    /** The lag by its newest report. */
    long lag = Long.MAX_VALUE;
    /** When it last reported its position; 0 if it has not, or if that report is no longer valid. */
    long reportedAt;
    /** The time of the newest evidence that it is a replica. */
    long replicaEvidenceAt;
    /** When it last rejected a read because it was too far behind. */
    long misdirectedAt = Endpoint.NEVER;
}
