package mintstair.decision;

/** How far an endpoint has applied the log, as far as known, and its role. Positions and times are microseconds. */
final class ReplicationState {
    /** The newest position that it is known to have reached. */
    long position = Positions.UNKNOWN;
    /** How far it was behind by its newest report. */
    long lag = Long.MAX_VALUE;
    /** When it last reported its position; 0 where that report no longer counts. */
    long reportedAt;
    /** The time of the newest evidence that it is a replica. */
    long replicaEvidenceAt;
    /** When it last rejected a read as it was too far behind. */
    long misdirectedAt = Endpoint.NEVER;
}
