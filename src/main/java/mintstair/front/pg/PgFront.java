package mintstair.front.pg;

import mintstair.front.ClientMemoryBudget;
import mintstair.front.ClientSession;
import mintstair.front.Front;
import mintstair.proxy.Dispatcher;
import mintstair.proxy.EventLoop;
import mintstair.stats.Counters;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;

/** The front for clients that use version 3 of the PostgreSQL protocol with simple queries. */
public final class PgFront extends Front {
    /** Creates the front; {@code maxClients} limits the client connections. */
    public PgFront(
            EventLoop loop,
            Dispatcher dispatcher,
            TCPNIOTransport transport,
            Counters counters,
            ClientMemoryBudget memoryBudget,
            int maxClients) {
        super(loop, dispatcher, transport, counters, memoryBudget, maxClients);
    }

    @Override
    protected ClientSession createSession(Connection<?> connection) {
        return new PgSession(this, connection);
    }
}
