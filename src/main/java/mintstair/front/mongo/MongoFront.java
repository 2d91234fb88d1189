package mintstair.front.mongo;

import java.util.List;
import mintstair.front.ClientSession;
import mintstair.front.Front;
import mintstair.proxy.Dispatcher;
import mintstair.proxy.EventLoop;
import mintstair.stats.Counters;
import org.bson.BsonArray;
import org.bson.BsonDocument;
import org.bson.BsonInt64;
import org.bson.BsonString;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;

/** The front for clients that speak MongoDB's wire protocol; docs/mongodb.md describes what a request must hold. */
public final class MongoFront extends Front {
    private final Cursors cursors;
    /** Only on the network thread. */
    private int connections;

    /** {@code maxClients} bounds the connections of clients. */
    public MongoFront(
            EventLoop loop, Dispatcher dispatcher, TCPNIOTransport transport, Counters counters, int maxClients) {
        super(loop, dispatcher, transport, counters, maxClients);
        cursors = new Cursors(this::killOnHost);
    }

    @Override
    protected ClientSession session(Connection<?> connection) {
        return new MongoSession(this, connection, ++connections);
    }

    Cursors cursors() {
        return cursors;
    }

    long nowMicros() {
        return loop.now();
    }

    /** Has the host free a cursor; nobody waits for its reply. */
    void killOnHost(Cursors.Cursor cursor) {
        BsonDocument command = new BsonDocument("killCursors", new BsonString(cursor.collection()))
                .append("cursors", new BsonArray(List.of(new BsonInt64(cursor.hostId()))))
                .append("$db", new BsonString(cursor.database()));
        dispatcher.release(cursor.host(), new MongoStatement(command));
    }
}
