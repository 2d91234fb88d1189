package mintstair.request;

/**
 * One request as a front accepts it.
 *
 * @param id the client's own id, by which people find it in logs
 * @param requestClass the name of its class in the settings
 * @param cluster the replica set that holds its data
 * @param session its session; null where its class has none
 * @param isClientRetry whether the client marked it as a retry
 * @param timeoutMicros how long the client waits from its arrival on
 * @param minimumPositionMicros the replication position that a read of a session must see, or
 *     {@link HostReport#UNKNOWN_POSITION}
 * @param statement what to forward
 * @param stickyHost the only host that can serve it, as that holds the cursor which is read on; null for any
 */
public record ProxyRequest(
        String id,
        String requestClass,
        int cluster,
        String session,
        boolean isClientRetry,
        long timeoutMicros,
        long minimumPositionMicros,
        Statement statement,
        String stickyHost) {
    private static final long SHORTEST_TIMEOUT_MICROS = 1;

    /**
     * The same request after {@code elapsedMicros} of its timeout; one that has none left keeps the shortest possible.
     */
    public ProxyRequest withReducedTimeout(long elapsedMicros) {
        return new ProxyRequest(
                id,
                requestClass,
                cluster,
                session,
                isClientRetry,
                Math.max(SHORTEST_TIMEOUT_MICROS, timeoutMicros - elapsedMicros),
                minimumPositionMicros,
                statement,
                stickyHost);
    }
}
