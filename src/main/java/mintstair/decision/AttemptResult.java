package mintstair.decision;

import mintstair.request.ReplicationRole;

/**
 * The result of one attempt.
 *
 * @param id the number of the request
 * @param attempt the number of the attempt, from 0
 * @param host the host to which the attempt was sent
 * @param finished whether the request has its final response, through this attempt or earlier
 * @param role the replication role that the host reported
 * @param appliedPosition a position up to which the host reported to have applied all commits, or
 *     {@link Positions#UNKNOWN}
 * @param commitPosition for a write that was served, a position at or after its commit, or {@link Positions#UNKNOWN}
 */
public record AttemptResult(
        long id,
        int attempt,
        String host,
        AttemptOutcome outcome,
        long latencyMicros,
        boolean finished,
        ReplicationRole role,
        long appliedPosition,
        long commitPosition) {}
