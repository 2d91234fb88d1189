package mintstair.traffic;

/**
 * A request whose response was not seen yet, or a command that is none and gives no exchange.
 *
 * @param timestampNanos when its last byte was seen
 * @param message as it was sent
 * @param session the session, or null
 * @param comment what the client said of it
 * @param requestId what a response refers to, where the protocol has that
 */
record PendingRequest(
        long timestampNanos,
        byte[] message,
        boolean write,
        String session,
        CommentFields comment,
        long timeoutMillis,
        int requestId) {
    RecordedExchange complete(int connection, ExchangeResponse response) {
        return new RecordedExchange(
                connection,
                timestampNanos,
                response.timestampNanos(),
                comment.getOrEmpty(CommentFields.ID),
                comment.getOrEmpty(CommentFields.REQUEST_CLASS),
                (int) comment.number(CommentFields.REPLICA_SET, 0),
                session,
                write,
                CommentFields.TRUE.equals(comment.get(CommentFields.RETRY)),
                timeoutMillis,
                comment.number(CommentFields.MINIMUM_POSITION, -1),
                response.result(),
                response.retryAfterMillis(),
                response.digest(),
                message);
    }
}
