package mintstair.traffic;

import java.util.Locale;

/**
 * Makes the message that a replay sends: the recorded one with a fresh id, a position token, and renamed sessions.
 */
interface RequestRewriter {
    /** Creates the rewriter of a protocol. */
    static RequestRewriter of(Recording.Protocol protocol) {
        return switch (protocol) {
            case POSTGRESQL -> new PgRequestRewriter();
            case MONGODB -> new MongoRequestRewriter();
        };
    }

    /**
     * Rewrites the recorded message of a request.
     *
     * @param id the id that the request has in this replay
     * @param minimumPositionMillis the position that it asks for in Unix milliseconds, negative for none
     */
    byte[] rewrite(ScheduledRequest request, String id, long minimumPositionMillis);

    /** Whether a request's session has another name than the recorded one. */
    static boolean isSessionRenamed(ScheduledRequest request) {
        return request.copy() > 0 && request.recorded().session() != null;
    }

    /** The name of a renamed session: as long as ids allow, and of the letters of hexadecimal keys. */
    static String renamedSession(ScheduledRequest request) {
        return request.recorded().session() + String.format(Locale.ROOT, "c%03x", request.copy());
    }

    /** A comment of fields with those of the replay. */
    static String rewriteComment(String comment, ScheduledRequest request, String id, long minimumPositionMillis) {
        String rewritten = CommentFields.with(comment, CommentFields.ID, id);
        if (minimumPositionMillis >= 0) {
            String position = Long.toString(minimumPositionMillis);
            rewritten = CommentFields.with(rewritten, CommentFields.MINIMUM_POSITION, position);
        }
        if (request.isRetry()) {
            rewritten = CommentFields.with(rewritten, CommentFields.RETRY, CommentFields.TRUE);
        }
        return rewritten;
    }
}
