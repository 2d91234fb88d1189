package mintstair.front.mongo;

import mintstair.request.Statement;
import mintstair.wire.MongoMessage;
import org.bson.BsonDocument;
import org.bson.BsonInt64;
import org.bson.BsonString;

/** One command for a host: as the client gave it, less what belongs to the client's own connection. */
record MongoStatement(BsonDocument command) implements Statement {
    private static final String[] OWN = {"lsid", "$clusterTime", "$readPreference", "maxTimeMS"};

    MongoStatement(BsonDocument command) {
        this.command = command.clone();
        for (String field : OWN) {
            this.command.remove(field);
        }
        // The routing, not the host, says where a read may go.
        if (command.containsKey("find") || command.containsKey("getMore")) {
            this.command.put("$readPreference", new BsonDocument("mode", new BsonString("secondaryPreferred")));
        }
    }

    @Override
    public byte[] encode(long waitMillis) {
        BsonDocument words = command.clone();
        // Hosts refuse a limit of time on getMore, whose cursor has none of its own.
        if (!words.containsKey("getMore") && !words.containsKey("killCursors")) {
            words.put("maxTimeMS", new BsonInt64(waitMillis));
        }
        return MongoMessage.opMsg(words, 0);
    }
}
