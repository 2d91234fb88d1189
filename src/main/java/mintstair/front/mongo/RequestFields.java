package mintstair.front.mongo;

import java.util.HashMap;
import java.util.Map;
import mintstair.front.RequestRules;
import mintstair.wire.ProtocolException;
import org.bson.BsonDocument;
import org.bson.BsonValue;

/** Reads from a command what makes it a request: its comment and its time limit. */
final class RequestFields {
    private RequestFields() {}

    /** A comment is a text as in SQL, or a document of the same names. */
    static Map<String, String> comment(BsonDocument command) {
        if (command.isString("comment")) {
            return RequestRules.parseComment(command.getString("comment").getValue());
        }
        if (!command.isDocument("comment")) {
            throw new ProtocolException("the comment must be a text or a document");
        }
        Map<String, String> values = new HashMap<>();
        command.getDocument("comment").forEach((name, value) -> values.put(name, text(value)));
        return values;
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
        if (value.isBoolean()) {
            return value.asBoolean().getValue() ? "1" : "0";
        }
        return "";
    }

    /** How many milliseconds the client waits; null where it does not say. */
    static String maxTimeMillis(BsonDocument command) {
        if (!command.isNumber("maxTimeMS") || command.getNumber("maxTimeMS").longValue() == 0) {
            return null;
        }
        return Long.toString(command.getNumber("maxTimeMS").longValue());
    }

    /** The proxy routes each command by itself, so it cannot keep what belongs to a transaction. */
    static void checkSingleCommand(BsonDocument command, String name) {
        if (!command.isString(name) || !command.isString("$db")) {
            throw new ProtocolException(name + " needs its collection and $db");
        }
        if (command.containsKey("txnNumber")
                || command.containsKey("startTransaction")
                || command.containsKey("autocommit")) {
            throw new ProtocolException("transactions and retryable writes are not served");
        }
    }
}
