package mintstair.front.mongo;

import java.util.List;
import mintstair.front.ClientSession;
import mintstair.front.Front;
import mintstair.front.RequestRules;
import mintstair.proxy.Dispatcher;
import mintstair.proxy.EventLoop;
import mintstair.stats.Counters;
import org.bson.BsonArray;
import org.bson.BsonDocument;
import org.bson.BsonInt64;
import org.bson.BsonString;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;

/** The front for clients that speak MongoDB's wire protocol; docs/mongodb.md says how requests are told. */
public final class MongoFront extends Front {
    private final RequestRules rules;
    private final Cursors cursors;
    private int connections;

    public MongoFront(
            EventLoop loop, Dispatcher dispatcher, TCPNIOTransport transport, Counters counters, int mostClients) {
        super(loop, dispatcher, transport, counters, mostClients);
        rules = new RequestRules(dispatcher);
        cursors = new Cursors(this::free);
    }

    @Override
    protected ClientSession session(Connection<?> connection) {
        return new MongoSession(this, connection, ++connections);
    }

    RequestRules rules() {
        return rules;
    }

    Cursors cursors() {
        return cursors;
    }

    long now() {
        return loop.now();
    }

    void malformed() {
        counters.malformed++;
    }

    void free(Cursors.Cursor c) {
        dispatcher.release(
                c.host(),
                new MongoStatement(new BsonDocument("killCursors", new BsonString(c.collection()))
                        .append("cursors", new BsonArray(List.of(new BsonInt64(c.hostId()))))
                        .append("$db", new BsonString(c.database()))));
    }
}
