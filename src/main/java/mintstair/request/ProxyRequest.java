package mintstair.request;

/**
 * A request as a front accepts it. Immutable.
 *
 * @param id the client's own identifier for the request, for use in logs
 * @param requestClass the name of the request class in the settings
 * @param cluster the number of the replica set that holds the data
 * @param session the client session; null if there is none
 * @param isClientRetry whether the client marked the request as a retry
 * @param timeoutMicros how long the client waits for the response, counted from the arrival of the request
 * @param minimumPositionMicros the replication position that a host must have reached to serve a read of the session,
 *     or {@link HostReport#UNKNOWN_POSITION} if any position is sufficient
 * @param statement the operation to forward
 * @param stickyHost the only host that can serve the request, because it holds the cursor to read from; null for any
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
    private static final long MIN_TIMEOUT_MICROS = 1;

    /** Returns this request with its timeout reduced by {@code elapsedMicros}, but to no less than one microsecond. */
    public ProxyRequest withReducedTimeout(long elapsedMicros) {
        return new ProxyRequest(
                id,
                requestClass,
                cluster,
                session,
                isClientRetry,
                Math.max(MIN_TIMEOUT_MICROS, timeoutMicros - elapsedMicros),
                minimumPositionMicros,
                statement,
                stickyHost);
    }
}
