package mintstair.front.pg;

import mintstair.front.ClientSession;
import mintstair.front.Front;
import mintstair.front.RequestRules;
import mintstair.proxy.Dispatcher;
import mintstair.proxy.EventLoop;
import mintstair.stats.Counters;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;

/** The front of the platform: PostgreSQL's protocol, version 3, simple queries. */
public final class PgFront extends Front {
    private final RequestRules rules;

    public PgFront(
            EventLoop loop, Dispatcher dispatcher, TCPNIOTransport transport, Counters counters, int mostClients) {
        super(loop, dispatcher, transport, counters, mostClients);
        rules = new RequestRules(dispatcher);
    }

    @Override
    protected ClientSession session(Connection<?> connection) {
        return new PgSession(this, connection);
    }

    RequestRules rules() {
        return rules;
    }

    void malformed() {
        counters.malformed++;
    }
}
