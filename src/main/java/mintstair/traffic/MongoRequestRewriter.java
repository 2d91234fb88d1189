package mintstair.traffic;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import mintstair.wire.MongoMessage;
import org.bson.BsonDocument;
import org.bson.BsonInt64;
import org.bson.BsonString;

/** Rewrites MongoDB's commands, whose comment names the session; each message has a request id of its own. */
final class MongoRequestRewriter implements RequestRewriter {
    private static final String COMMENT = "comment";
    private static final int REQUEST_ID_OFFSET = 4;

    private int lastRequestId;

    @Override
    public byte[] rewrite(ScheduledRequest request, String id, long minimumPositionMillis) {
        BsonDocument command = MongoMessage.parse(request.recorded().message()).body();
        if (command.isString(COMMENT)) {
            String recorded = command.getString(COMMENT).getValue();
            command.put(COMMENT, new BsonString(rewriteText(recorded, request, id, minimumPositionMillis)));
        } else {
            rewriteDocument(command.getDocument(COMMENT), request, id, minimumPositionMillis);
        }
        byte[] message = MongoMessage.opMsg(command, 0);
        ByteBuffer.wrap(message).order(ByteOrder.LITTLE_ENDIAN).putInt(REQUEST_ID_OFFSET, ++lastRequestId);
        return message;
    }

    private static String rewriteText(
            String recorded, ScheduledRequest request, String id, long minimumPositionMillis) {
        String comment = RequestRewriter.rewriteComment(recorded, request, id, minimumPositionMillis);
        if (!RequestRewriter.isSessionRenamed(request)) {
            return comment;
        }
        return CommentFields.with(comment, CommentFields.SESSION, RequestRewriter.renamedSession(request));
    }

    private static void rewriteDocument(
            BsonDocument comment, ScheduledRequest request, String id, long minimumPositionMillis) {
        comment.put(CommentFields.ID, new BsonString(id));
        if (minimumPositionMillis >= 0) {
            comment.put(CommentFields.MINIMUM_POSITION, new BsonInt64(minimumPositionMillis));
        }
        if (RequestRewriter.isSessionRenamed(request)) {
            comment.put(CommentFields.SESSION, new BsonString(RequestRewriter.renamedSession(request)));
        }
        if (request.isRetry()) {
            comment.put(CommentFields.RETRY, new BsonString(CommentFields.TRUE));
        }
    }
}
