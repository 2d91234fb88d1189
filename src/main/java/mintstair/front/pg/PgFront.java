package mintstair.front.pg;

import mintstair.front.ClientSession;
import mintstair.front.Front;
import mintstair.proxy.Dispatcher;
import mintstair.proxy.EventLoop;
import mintstair.stats.Counters;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;

/** The front for clients that speak PostgreSQL's protocol, version 3, with simple queries. */
public final class PgFront extends Front {
    /** {@code maxClients} bounds the connections of clients. */
    public PgFront(
            EventLoop loop, Dispatcher dispatcher, TCPNIOTransport transport, Counters counters, int maxClients) {
        super(loop, dispatcher, transport, counters, maxClients);
    }

    @Override
    protected ClientSession session(Connection<?> connection) {
        return new PgSession(this, connection);
    }
}
