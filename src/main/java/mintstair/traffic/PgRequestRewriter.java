package mintstair.traffic;

import java.nio.charset.StandardCharsets;
import mintstair.wire.PgWriter;

/** Rewrites PostgreSQL's queries, whose first quoted text names the session. */
final class PgRequestRewriter implements RequestRewriter {
    private static final char QUERY = 'Q';
    /** Type and length. */
    private static final int MESSAGE_HEADER_BYTES = 5;

    @Override
    public byte[] rewrite(ScheduledRequest request, String id, long minimumPositionMillis) {
        byte[] message = request.recorded().message();
        int queryLength = message.length - MESSAGE_HEADER_BYTES - 1;
        String query = new String(message, MESSAGE_HEADER_BYTES, queryLength, StandardCharsets.ISO_8859_1);
        int commentStart = query.lastIndexOf("/*") + 2;
        int commentEnd = query.indexOf("*/", commentStart);
        String statement = query.substring(0, commentStart);
        if (RequestRewriter.isSessionRenamed(request)) {
            statement = renameSession(statement, request);
        }
        String recordedComment = query.substring(commentStart, commentEnd);
        String comment = RequestRewriter.rewriteComment(recordedComment, request, id, minimumPositionMillis);
        String rewritten = statement + comment + " " + query.substring(commentEnd);
        return new PgWriter()
                .message(QUERY, rewritten.getBytes(StandardCharsets.ISO_8859_1), '\0')
                .bytes();
    }

    private static String renameSession(String statement, ScheduledRequest request) {
        int start = statement.indexOf('\'') + 1;
        int end = start + request.recorded().session().length();
        return statement.substring(0, start) + RequestRewriter.renamedSession(request) + statement.substring(end);
    }
}
