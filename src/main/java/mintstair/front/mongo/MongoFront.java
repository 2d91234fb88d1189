package mintstair.front.mongo;

import java.util.List;
import mintstair.front.ClientMemoryBudget;
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

/** The front for clients that use the MongoDB wire protocol; docs/mongodb.md specifies the fields of a request. */
public final class MongoFront extends Front {
    private final Cursors cursors;
    /** The number of connections so far; used on the network thread only. */
    private int connectionCount;

    /** Creates the front; {@code maxClients} limits the client connections. */
    public MongoFront(
            EventLoop loop,
            Dispatcher dispatcher,
            TCPNIOTransport transport,
            Counters counters,
            ClientMemoryBudget memoryBudget,
            int maxClients) {
        super(loop, dispatcher, transport, counters, memoryBudget, maxClients);
        cursors = new Cursors(this::killOnHost);
    }

    @Override
    protected ClientSession createSession(Connection<?> connection) {
        return new MongoSession(this, connection, ++connectionCount);
    }

    Cursors cursors() {
        return cursors;
    }

    long nowMicros() {
        return loop.now();
    }

    /** Kills a cursor on its host, without waiting for the reply. */
    void killOnHost(Cursors.Cursor cursor) {
        BsonDocument command = new BsonDocument("killCursors", new BsonString(cursor.collection()))
                .append("cursors", new BsonArray(List.of(new BsonInt64(cursor.hostId()))))
                .append("$db", new BsonString(cursor.database()));
        dispatcher.release(cursor.host(), new MongoStatement(command));
    }
}
