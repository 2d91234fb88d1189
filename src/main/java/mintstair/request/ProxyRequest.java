package mintstair.request;

/**
 * One request as any front takes it in.
 *
 * @param id the client's own id, for people to find it by
 * @param requestClass the class, named as in the settings
 * @param cluster the group of hosts that hold its data
 * @param session the session, or null where its class has none
 * @param clientRetry whether the client says that it tries again
 * @param timeoutMicros how long the client waits from the arrival on
 * @param minimumPositionMicros the position that a session's read must see, or {@link HostReport#UNKNOWN}
 * @param statement what to pass on
 * @param pinned the only host that can serve it, as it holds the cursor that is read on; null for any
 */
public record ProxyRequest(
        String id,
        String requestClass,
        int cluster,
        String session,
        boolean clientRetry,
        long timeoutMicros,
        long minimumPositionMicros,
        Statement statement,
        String pinned) {
    /** The same request when so many microseconds of its client's time have passed; it may have none left. */
    public ProxyRequest after(long waited) {
        return new ProxyRequest(
                id,
                requestClass,
                cluster,
                session,
                clientRetry,
                Math.max(1, timeoutMicros - waited),
                minimumPositionMicros,
                statement,
                pinned);
    }
}
