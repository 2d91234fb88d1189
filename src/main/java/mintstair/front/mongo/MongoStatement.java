package mintstair.front.mongo;

import mintstair.request.Statement;
import mintstair.wire.MongoMessage;
import org.bson.BsonDocument;
import org.bson.BsonInt64;
import org.bson.BsonString;

/** One command for a host: the command of the client without the fields that apply only to the client's connection. */
record MongoStatement(BsonDocument command) implements Statement {
    private static final String[] CONNECTION_FIELDS = {"lsid", "$clusterTime", "$readPreference", "maxTimeMS"};

    MongoStatement(BsonDocument command) {
        this.command = copy(command);
        for (String field : CONNECTION_FIELDS) {
            this.command.remove(field);
        }
        // The proxy decides which host may serve a read, so hosts must accept it in any role.
        if (command.containsKey("find") || command.containsKey("getMore")) {
            this.command.put("$readPreference", new BsonDocument("mode", new BsonString("secondaryPreferred")));
        }
    }

    /** Returns a document with the same fields, whose values are shared: they may be large, and never change. */
    private static BsonDocument copy(BsonDocument document) {
        BsonDocument copy = new BsonDocument();
        copy.putAll(document);
        return copy;
    }

    @Override
    public byte[] encode(long timeoutMillis) {
        BsonDocument body = copy(command);
        // Hosts reject a time limit on getMore if its find had none.
        if (!body.containsKey("getMore") && !body.containsKey("killCursors")) {
            body.put("maxTimeMS", new BsonInt64(timeoutMillis));
        }
        return MongoMessage.opMsg(body, 0);
    }
}
