package mintstair.decision;

/**
 * A request; {@code timeoutMicros} is the time until its client gives up, {@code tenant} -1 where none.
 * One that is {@code stickyHost} goes on with what its host holds: no other host can serve it, nor it twice.
 */
public record RoutingRequest(
        long id,
        int classIndex,
        int replicaSet,
        String session,
        int tenant,
        boolean clientRetry,
        long timeoutMicros,
        long tokenAgeMicros,
        String stickyHost) {
    /** A request that any host can serve. */
    public RoutingRequest(
            long id,
            int classIndex,
            int replicaSet,
            String session,
            int tenant,
            boolean clientRetry,
            long timeoutMicros,
            long tokenAgeMicros) {
        this(id, classIndex, replicaSet, session, tenant, clientRetry, timeoutMicros, tokenAgeMicros, null);
    }
}
