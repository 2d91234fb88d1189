package mintstair.traffic;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import mintstair.pcap.DropCounters;
import mintstair.wire.MongoFramer;
import mintstair.wire.MongoMessage;
import mintstair.wire.ProtocolException;
import org.bson.BsonDocument;
import org.bson.BsonValue;

/** Decodes MongoDB's wire protocol, in which a response names the request that it answers. */
final class MongoExchangeDecoder extends ExchangeDecoder {
    private static final List<String> WRITE_COMMANDS = List.of("insert", "update", "delete");
    /** The error code with which the front rejects a request. */
    private static final int REJECTION_CODE = 462;
    /** Fields that differ from run to run though the value is the same. */
    private static final List<String> VARIABLE_FIELDS =
            List.of("lastWrite", "localTime", "operationTime", "$clusterTime");

    MongoExchangeDecoder(int connection, DropCounters drops, Consumer<RecordedExchange> output) {
        super(connection, new MongoFramer(), new MongoFramer(), drops, output);
    }

    @Override
    protected void onClientMessage(long timestampNanos, byte[] bytes) {
        MongoMessage message = MongoMessage.parse(bytes);
        if ((message.flags() & MongoMessage.MORE_TO_COME) != 0) {
            return;
        }
        BsonDocument command = message.body();
        CommentFields comment = commentOf(command);
        addPending(new PendingRequest(
                timestampNanos,
                bytes,
                WRITE_COMMANDS.contains(command.getFirstKey()),
                comment.get(CommentFields.SESSION),
                comment,
                numberOrZero(command, "maxTimeMS"),
                message.requestId()));
    }

    private static CommentFields commentOf(BsonDocument command) {
        if (command.isString("comment")) {
            return CommentFields.parse(command.getString("comment").getValue());
        }
        if (!command.isDocument("comment")) {
            return CommentFields.empty();
        }
        Map<String, String> values = new HashMap<>();
        command.getDocument("comment").forEach((name, value) -> values.put(name, text(value)));
        return CommentFields.of(values);
    }

    private static String text(BsonValue value) {
        if (value.isString()) {
            return value.asString().getValue();
        }
        if (value.isNumber()) {
            return Long.toString(value.asNumber().longValue());
        }
        if (value.isDateTime()) {
            return Long.toString(value.asDateTime().getValue());
        }
        return value.isBoolean() && value.asBoolean().getValue() ? CommentFields.TRUE : "";
    }

    private static long numberOrZero(BsonDocument document, String name) {
        return document.isNumber(name) ? document.getNumber(name).longValue() : 0;
    }

    @Override
    protected void onServerMessage(long timestampNanos, byte[] bytes) {
        MongoMessage message;
        try {
            message = MongoMessage.parse(bytes);
        } catch (ProtocolException e) {
            // An OP_REPLY, which answers an old driver's hello and so no request.
            return;
        }
        PendingRequest request = removePending(message.responseTo());
        if (request != null) {
            complete(request, responseIn(message.body(), timestampNanos));
        }
    }

    private static ExchangeResponse responseIn(BsonDocument body, long timestampNanos) {
        if (body.isNumber("ok") && body.getNumber("ok").doubleValue() == 1) {
            VARIABLE_FIELDS.forEach(body::remove);
            byte[] value = body.toJson().getBytes(StandardCharsets.UTF_8);
            return ExchangeResponse.served(timestampNanos, ValueDigest.of(value));
        }
        if (body.isNumber("code") && body.getNumber("code").intValue() == REJECTION_CODE) {
            return ExchangeResponse.refused(timestampNanos, numberOrZero(body, "retryAfterMS"));
        }
        return ExchangeResponse.failed(timestampNanos);
    }
}
