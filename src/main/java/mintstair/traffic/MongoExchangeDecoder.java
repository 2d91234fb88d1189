package mintstair.traffic;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import mintstair.pcap.DropCounters;
import mintstair.wire.MongoFramer;
import mintstair.wire.MongoMessage;
import mintstair.wire.ProtocolException;
import org.bson.BsonDocument;

/** MongoDB's wire protocol: answers name what they answer. */
final class MongoExchangeDecoder extends ExchangeDecoder {
    private static final List<String> WRITES = List.of("insert", "update", "delete");
    private static final int OVERLOADED = 462;
    /** What differs from run to run though the value is the same. */
    private static final List<String> NOTES = List.of("lastWrite", "localTime", "operationTime", "$clusterTime");

    MongoExchangeDecoder(int connection, DropCounters losses, Consumer<RecordedExchange> out) {
        super(connection, new MongoFramer(), new MongoFramer(), losses, out);
    }

    @Override
    protected void asked(long nanos, byte[] bytes) {
        MongoMessage m = MongoMessage.parse(bytes);
        if ((m.flags() & MongoMessage.MORE_TO_COME) != 0) {
            return;
        }
        BsonDocument c = m.body();
        Map<String, String> values = comment(c);
        boolean request = values.containsKey("id");
        opened(new Open(
                nanos,
                bytes,
                WRITES.contains(c.getFirstKey()),
                values.get("session"),
                request ? values : null,
                c.isNumber("maxTimeMS") ? c.getNumber("maxTimeMS").longValue() : 0,
                m.requestId()));
    }

    private static Map<String, String> comment(BsonDocument c) {
        if (c.isString("comment")) {
            return comment(c.getString("comment").getValue());
        }
        Map<String, String> values = new HashMap<>();
        if (c.isDocument("comment")) {
            c.getDocument("comment")
                    .forEach((name, value) -> values.put(
                            name,
                            value.isString()
                                    ? value.asString().getValue()
                                    : value.isNumber()
                                            ? Long.toString(value.asNumber().longValue())
                                            : value.isDateTime()
                                                    ? Long.toString(
                                                            value.asDateTime().getValue())
                                                    : value.isBoolean()
                                                                    && value.asBoolean()
                                                                            .getValue()
                                                            ? "1"
                                                            : ""));
        }
        return values;
    }

    @Override
    protected void answered(long nanos, byte[] bytes) {
        MongoMessage m;
        try {
            m = MongoMessage.parse(bytes);
        } catch (ProtocolException e) {
            // A reply of the old kind, to hello: it answers no request.
            return;
        }
        Open request = take(m.responseTo());
        if (request == null) {
            return;
        }
        BsonDocument body = m.body();
        if (body.isNumber("ok") && body.getNumber("ok").doubleValue() == 1) {
            NOTES.forEach(body::remove);
            byte[] value = body.toJson().getBytes(java.nio.charset.StandardCharsets.UTF_8);
            tell(request, nanos, RecordedExchange.Result.SERVED, 0, digest(0, value, 0, value.length));
        } else if (body.isNumber("code") && body.getNumber("code").intValue() == OVERLOADED) {
            tell(
                    request,
                    nanos,
                    RecordedExchange.Result.REFUSED,
                    body.isNumber("retryAfterMS")
                            ? body.getNumber("retryAfterMS").longValue()
                            : 0,
                    0);
        } else {
            tell(request, nanos, RecordedExchange.Result.FAILED, 0, 0);
        }
    }
}
