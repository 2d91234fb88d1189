package mintstair.serve;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import mintstair.backend.mongo.MongoProtocol;
import mintstair.backend.pg.PgProtocol;
import mintstair.config.NodeConfig;
import mintstair.config.OperatorConfig;
import mintstair.front.mongo.MongoFront;
import mintstair.front.pg.PgFront;
import mintstair.proxy.Loop;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;

/** One running proxy: what is made at the start, and how it ends. */
public final class Proxy {
    /** After SIGTERM new connections may arrive for this long. */
    private static final long ARRIVALS = 500_000;
    /** Descriptors that are neither a client's nor a host's: the jar, listeners, selectors, discovery. */
    private static final int OWN_DESCRIPTORS = 64;

    private final NodeConfig config;
    private final OperatorConfig operator;
    private final Loop loop = new Loop();
    private final TCPNIOTransport transport;
    private final List<Service> services = new ArrayList<>();

    public Proxy(NodeConfig config, OperatorConfig operator) {
        this.config = config;
        this.operator = operator;
        transport = transport();
    }

    /** One network thread: what it reads, it hands to the loop. */
    static TCPNIOTransport transport() {
        return TCPNIOTransportBuilder.newInstance().setIOStrategy(SameThreadIOStrategy.getInstance())
            .setSelectorRunnersCount(1).setTcpNoDelay(true).setReuseAddress(true).build();
    }

    /** Starts to serve; returns once the proxy listens. */
    public void start() throws IOException {
        transport.start();
        Runtime.getRuntime().addShutdownHook(new Thread(this::finish, "finish"));
        int fronts = operator.mongodb() == null ? 1 : 2;
        int most = Math.max(16, (config.sockets() - OWN_DESCRIPTORS) / 2 / fronts);
        Service pg = new Service(loop, transport, new PgProtocol(), config.seed(), config.env(), most,
            (dispatcher, counters) -> new PgFront(loop, dispatcher, transport, counters, most));
        services.add(pg);
        pg.start(config.listen(), config.discovery(), config.known());
        if (operator.mongodb() != null) {
            Service mongo = new Service(loop, transport, new MongoProtocol(), config.seed(), config.env(), most,
                (dispatcher, counters) -> new MongoFront(loop, dispatcher, transport, counters, most));
            services.add(mongo);
            mongo.start(operator.mongodb().listen(), operator.mongodb().discovery(), operator.mongodb().hosts());
        }
    }

    /** On SIGTERM: what arrives for a while is served, what is held is finished, then the program ends well. */
    private void finish() {
        CountDownLatch done = new CountDownLatch(1);
        loop.at(loop.now() + ARRIVALS, () -> {
            services.forEach(service -> service.front.stopListening());
            settle(done);
        });
        try {
            done.await(60, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        services.forEach(service -> System.out.println("counters: " + service.counters));
        System.out.flush();
        Runtime.getRuntime().halt(0);
    }

    private void settle(CountDownLatch done) {
        services.forEach(service -> service.front.letGo());
        if (services.stream().allMatch(service -> service.front.clients() == 0)) {
            done.countDown();
        } else {
            loop.at(loop.now() + 10_000, () -> settle(done));
        }
    }
}
