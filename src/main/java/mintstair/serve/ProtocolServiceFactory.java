package mintstair.serve;

import mintstair.backend.mongo.MongoProtocol;
import mintstair.backend.pg.PgProtocol;
import mintstair.config.NodeConfig;
import mintstair.front.mongo.MongoFront;
import mintstair.front.pg.PgFront;
import mintstair.proxy.EventLoop;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;

/** Creates the services of the wire protocols; {@code budget} is the descriptor budget of each of them. */
record ProtocolServiceFactory(EventLoop loop, TCPNIOTransport transport, NodeConfig config, DescriptorBudget budget) {
    ProtocolService postgresql() {
        return new ProtocolService(
                loop,
                transport,
                new PgProtocol(),
                config.seed(),
                config.settings(),
                budget.hosts(),
                (dispatcher, counters) -> new PgFront(loop, dispatcher, transport, counters, budget.clients()));
    }

    ProtocolService mongodb() {
        return new ProtocolService(
                loop,
                transport,
                new MongoProtocol(),
                config.seed(),
                config.settings(),
                budget.hosts(),
                (dispatcher, counters) -> new MongoFront(loop, dispatcher, transport, counters, budget.clients()));
    }
}
