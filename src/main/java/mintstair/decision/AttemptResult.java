package mintstair.decision;

import mintstair.request.ReplicationRole;

/** The end of one attempt; {@code finished} when the request is over with it or was before. */
public record AttemptResult(
        long id,
        int attempt,
        String host,
        AttemptOutcome outcome,
        long latencyMicros,
        boolean finished,
        ReplicationRole role,
        long position) {}
