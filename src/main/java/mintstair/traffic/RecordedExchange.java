package mintstair.traffic;

/**
 * One request and its final answer, as a recording shows them.
 *
 * @param connection the connection it came on, numbered by first sight within the recording
 * @param asked when its last byte was seen, in Unix nanoseconds of the recording's clock
 * @param answered when its answer's last byte was seen, 0 where there was none
 * @param id the client's own id
 * @param requestClass its class
 * @param cluster the group of hosts that hold its data
 * @param session the session, or null
 * @param write whether the statement changes data
 * @param retry whether the client marked it as a retry
 * @param deadlineMillis how long the client would wait, 0 where it does not say
 * @param afterMillis the position that it must see, in Unix milliseconds, -1 for none
 * @param result what came of it
 * @param retryAfterMillis for a refusal the time to come back, 0 where it gives none
 * @param digest of a served value, 0 for others; the same for the same value
 * @param message the request's message as it was sent
 */
public record RecordedExchange(
        int connection,
        long asked,
        long answered,
        String id,
        String requestClass,
        int cluster,
        String session,
        boolean write,
        boolean retry,
        long deadlineMillis,
        long afterMillis,
        Result result,
        long retryAfterMillis,
        long digest,
        byte[] message) {
    /** Final answers; {@link #NONE} where the recording shows none. */
    public enum Result {
        SERVED,
        REFUSED,
        FAILED,
        NONE
    }
}
