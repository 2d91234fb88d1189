package mintstair.front.mongo;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import mintstair.front.RequestRules;
import mintstair.wire.ProtocolException;
import org.bson.BsonDocument;
import org.bson.BsonValue;

/** Reads the fields of a command that describe its request: the comment and the time limit. */
final class RequestFields {
    private RequestFields() {}

    /** Returns a document with the fields of a find that name its database and collection. */
    static BsonDocument namespace(BsonDocument find) {
        BsonDocument namespace = new BsonDocument();
        for (String field : List.of("$db", "find")) {
            if (find.containsKey(field)) {
                namespace.put(field, find.get(field));
            }
        }
        return namespace;
    }

    /** Returns the values of the comment, which is a string as in SQL or a document with the same names. */
    static Map<String, String> comment(BsonDocument command) {
        if (command.isString("comment")) {
            return RequestRules.parseComment(command.getString("comment").getValue());
        }
        if (!command.isDocument("comment")) {
            throw new ProtocolException("the comment must be a text or a document");
        }
        Map<String, String> values = new HashMap<>();
        command.getDocument("comment").forEach((name, value) -> values.put(name, toText(value)));
        return values;
    }

    private static String toText(BsonValue value) {
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

    /** Returns the time limit of the command in milliseconds; null if it has none. */
    static String maxTimeMillis(BsonDocument command) {
        if (!command.isNumber("maxTimeMS") || command.getNumber("maxTimeMS").longValue() == 0) {
            return null;
        }
        return Long.toString(command.getNumber("maxTimeMS").longValue());
    }

    /**
     * Checks that a command names its collection and database and belongs to no transaction: each command is routed
     * independently, so that the commands of a transaction might be sent to different hosts.
     */
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
