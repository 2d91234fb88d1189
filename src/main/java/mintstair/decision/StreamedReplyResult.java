package mintstair.decision;

import mintstair.request.ReplicationRole;

/**
 * The end of a reply whose first part was passed to {@link Router#onReplyStarted}.
 *
 * @param id the number of the request
 * @param outcome how the reply ended; anything but {@link AttemptOutcome#SUCCESS} means that it is not complete
 * @param role the replication role that the host reported at the end of the reply
 * @param appliedPosition a position up to which the host reported to have applied all commits, or
 *     {@link Positions#UNKNOWN}
 * @param commitPosition for a write that was served, a position at or after its commit, or {@link Positions#UNKNOWN}
 */
public record StreamedReplyResult(
        long id, AttemptOutcome outcome, ReplicationRole role, long appliedPosition, long commitPosition) {}
