package mintstair.traffic;

/**
 * One request and its final response, as a recording shows them. Times are Unix nanoseconds of the recording's
 * clock.
 *
 * @param connection the connection it came on, numbered by first sight within the recording
 * @param requestNanos when the last byte of the request was seen
 * @param responseNanos when the last byte of the response was seen, 0 where there was none
 * @param id the client's own id
 * @param requestClass the request class
 * @param replicaSet the replica set that holds the data
 * @param session the session, or null
 * @param write whether the statement changes data
 * @param retry whether the client marked it as a retry
 * @param timeoutMillis how long the client would wait, 0 where it does not say
 * @param minimumPositionMillis the replication position that it must see, in Unix milliseconds, -1 for none
 * @param result what came of it
 * @param retryAfterMillis after which time a rejected request may be retried, 0 where the response does not say
 * @param digest of a served value, equal for equal values; 0 for other results
 * @param message the request's message as it was sent
 */
public record RecordedExchange(
        int connection,
        long requestNanos,
        long responseNanos,
        String id,
        String requestClass,
        int replicaSet,
        String session,
        boolean write,
        boolean retry,
        long timeoutMillis,
        long minimumPositionMillis,
        Result result,
        long retryAfterMillis,
        long digest,
        byte[] message) {
    /** Final results. Operators and files have these names, in lower case. */
    public enum Result {
        /** The request was answered with its value. */
        SERVED,
        /** The request was rejected, and may be retried. */
        REFUSED,
        /** The request failed with another error. */
        FAILED,
        /** The recording shows no response. */
        NONE
    }

    /** Time from request to response; of use only where there was a response. */
    public long latencyNanos() {
        return responseNanos - requestNanos;
    }
}
