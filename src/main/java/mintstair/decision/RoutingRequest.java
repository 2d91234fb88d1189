package mintstair.decision;

/**
 * A request as the router receives it.
 *
 * @param classIndex the index of its class in the settings
 * @param replicaSet the number of the replica set that it is for
 * @param session the session of the client; null if there is none
 * @param tenant the index of its tenant in the settings; -1 if there is none
 * @param clientRetry whether the client marks it as a retry
 * @param timeoutMicros the time until its client gives up
 * @param tokenAgeMicros the age of its session token on arrival, or {@link Positions#UNKNOWN}
 * @param stickyHost the only host that can serve it, once, because that host holds its cursor; null if any can
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
    /** Creates a request that any host can serve. */
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
