package mintstair.proxy;

import java.io.IOException;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;
import mintstair.backend.Backends;
import mintstair.backend.pg.PgProtocol;
import mintstair.config.NodeConfig;
import mintstair.discovery.Watch;
import mintstair.front.pg.PgFront;
import mintstair.request.HostList;
import mintstair.routing.RequestRouter;
import mintstair.stats.Counters;

/** One running proxy: what is made at the start, and how it ends. */
public final class Proxy {
    /** After SIGTERM new connections may arrive for this long. */
    private static final long ARRIVALS = 500_000;
    /** The list is known by then, or what was known at the start has to do. */
    private static final long READY_AFTER = 300_000;

    private final NodeConfig config;
    private final Loop loop = new Loop();
    private final Counters counters = new Counters();
    private final Set<Integer> clusters = new HashSet<>();
    private final TCPNIOTransport transport;
    private final Dispatcher dispatcher;
    private final PgFront front;

    public Proxy(NodeConfig config) {
        this.config = config;
        transport = TCPNIOTransportBuilder.newInstance().setIOStrategy(SameThreadIOStrategy.getInstance())
            .setSelectorRunnersCount(1).setTcpNoDelay(true).setReuseAddress(true).build();
        Backends hosts = new Backends(loop, new PgProtocol(), transport, config.env().connectTimeout,
            config.env().connectionIdle, counters);
        dispatcher = new Dispatcher(loop, new RequestRouter(loop.now(), config.seed(), config.env()), hosts, counters);
        front = new PgFront(loop, dispatcher, transport, counters, clusters::contains);
    }

    /** Starts to serve; returns once the proxy listens. */
    public void start() throws IOException {
        transport.start();
        Runtime.getRuntime().addShutdownHook(new Thread(this::finish, "finish"));
        Watch watch = new Watch(loop, transport, config.discovery(), list -> listed(list, false));
        loop.execute(() -> {
            if (config.known() != null) {
                listed(config.known(), true);
            }
            watch.start();
        });
        front.listen(config.listen());
        loop.at(loop.now() + READY_AFTER, front::ready);
        System.out.println("serving on " + config.listen().getHostString() + ":" + config.listen().getPort());
    }

    private void listed(HostList list, boolean old) {
        for (HostList.Entry entry : list.entries()) {
            clusters.add(entry.cluster());
        }
        dispatcher.listed(list, old);
    }

    /** On SIGTERM: what arrives for a while is served, what is held is finished, then the program ends well. */
    private void finish() {
        CountDownLatch done = new CountDownLatch(1);
        loop.at(loop.now() + ARRIVALS, () -> {
            front.stopListening();
            settle(done);
        });
        try {
            done.await(60, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        System.out.println("counters: " + counters);
        System.out.flush();
        Runtime.getRuntime().halt(0);
    }

    private void settle(CountDownLatch done) {
        front.letGo();
        if (front.clients() == 0) {
            done.countDown();
        } else {
            loop.at(loop.now() + 10_000, () -> settle(done));
        }
    }
}
