package mintstair.serve;

import mintstair.backend.mongo.MongoProtocol;
import mintstair.backend.pg.PgProtocol;
import mintstair.config.NodeConfig;
import mintstair.front.ClientMemoryBudget;
import mintstair.front.mongo.MongoFront;
import mintstair.front.pg.PgFront;
import mintstair.proxy.EventLoop;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;

/**
 * Creates the services of the wire protocols.
 *
 * @param budget the descriptor budget of each of them
 * @param memoryBudget the budget for what their clients' requests take of the heap, which they share
 */
record ProtocolServiceFactory(
        EventLoop loop,
        TCPNIOTransport transport,
        NodeConfig config,
        DescriptorBudget budget,
        ClientMemoryBudget memoryBudget) {
    /** Creates a factory whose services share a budget that follows from the heap of this process. */
    ProtocolServiceFactory(EventLoop loop, TCPNIOTransport transport, NodeConfig config, DescriptorBudget budget) {
        this(
                loop,
                transport,
                config,
                budget,
                ClientMemoryBudget.ofHeap(Runtime.getRuntime().maxMemory()));
    }

    ProtocolService postgresql() {
        return new ProtocolService(
                loop,
                transport,
                new PgProtocol(),
                config.seed(),
                config.settings(),
                budget.hosts(),
                (dispatcher, counters) ->
                        new PgFront(loop, dispatcher, transport, counters, memoryBudget, budget.clients()));
    }

    ProtocolService mongodb() {
        return new ProtocolService(
                loop,
                transport,
                new MongoProtocol(),
                config.seed(),
                config.settings(),
                budget.hosts(),
                (dispatcher, counters) ->
                        new MongoFront(loop, dispatcher, transport, counters, memoryBudget, budget.clients()));
    }
}
