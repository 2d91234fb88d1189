package mintstair.serve;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import mintstair.backend.ConnectionPools;
import mintstair.backend.Protocol;
import mintstair.config.InstanceSettings;
import mintstair.discovery.EndpointWatch;
import mintstair.discovery.pace.WatchPacing;
import mintstair.front.Front;
import mintstair.proxy.Dispatcher;
import mintstair.proxy.EventLoop;
import mintstair.request.EndpointList;
import mintstair.routing.RequestRouter;
import mintstair.routing.RouterEvent;
import mintstair.stats.Counters;
import mintstair.stats.MetricsSnapshot;
import mintstair.wire.Recorder;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;

/** One front and the hosts behind it, of one protocol, with a router of its own between them. */
final class ProtocolService {
    /** The list is known by then, or what was known at the start has to do. */
    private static final long READY_AFTER = 300_000;
    /** After the list the first polls come back within this: before, replicas' positions are not known. */
    private static final long POLLED_AFTER = 80_000;

    final Counters counters = new Counters();
    final Front front;
    private final EventLoop loop;
    private final TCPNIOTransport transport;
    private final Random random;
    private final ConnectionPools hosts;
    private final Dispatcher dispatcher;
    private final CompletableFuture<Void> listKnown = new CompletableFuture<>();
    private InstanceSettings env;
    /** Of the last whole list: what a call to discovery costs there. */
    private int lines;

    private boolean told;
    private InetSocketAddress discovery;
    private EndpointWatch watch;
    /** Whether it has told a list or changes. */
    private boolean spoken;
    /** The last one that did, at another address; null where there is none. */
    private EndpointWatch former;

    ProtocolService(
            EventLoop loop,
            TCPNIOTransport transport,
            Protocol protocol,
            long seed,
            InstanceSettings env,
            int mostHostConnections,
            FrontMaker maker) {
        this.loop = loop;
        this.transport = transport;
        random = new Random(seed);
        this.env = env;
        hosts = new ConnectionPools(
                loop,
                protocol,
                transport,
                env.connectTimeoutMicros,
                env.connectionIdleMicros,
                mostHostConnections,
                random,
                counters);
        dispatcher =
                new Dispatcher(loop, new RequestRouter(loop.now(), seed, env), hosts, counters, System.out::println);
        front = maker.make(dispatcher, counters);
        env.classes.keySet().forEach(counters::knows);
    }

    /** Takes what discovery, or the registry in its place, tells; {@code old} where that is what it knew at the last run; on the loop. */
    void told(EndpointList list, boolean old) {
        lines = list.whole() ? list.entries().size() : lines;
        dispatcher.listed(list, old);
        if (!told && !old) {
            told = true;
            loop.at(loop.now() + POLLED_AFTER, () -> listKnown.complete(null));
        }
    }

    /** Goes over to these settings as a whole; on the loop. */
    void settings(InstanceSettings env) {
        this.env = env;
        if (watch != null) {
            watch.pace(pace());
        }
        if (former != null) {
            former.pace(pace());
        }
        hosts.times(env.connectTimeoutMicros, env.connectionIdleMicros);
        dispatcher.settings(env);
    }

    /**
     * Watches this discovery from now on; the last one that spoke is followed until this one does, so that no leaver is missed
     * where it cannot be reached yet.
     */
    void discover(InetSocketAddress address) {
        if (address.equals(discovery)) {
            return;
        }
        discovery = address;
        if (watch != null && spoken) {
            former = watch;
        } else if (watch != null) {
            watch.end();
        }
        // Another's revisions say nothing here. All proxies are told of it together, so their calls that fail are
        // spread as ever.
        watch(-1);
    }

    private void watch(long revision) {
        EndpointWatch[] made = new EndpointWatch[1];
        made[0] = new EndpointWatch(loop, transport, discovery, revision, pace(), counters, list -> {
            if (made[0] == watch) {
                spoken = true;
                if (former != null) {
                    former.end();
                    former = null;
                }
            }
            told(list, false);
        });
        watch = made[0];
        spoken = false;
        watch.start();
    }

    private WatchPacing pace() {
        return env.listPushed
                ? WatchPacing.pushed(env.drainGraceMicros, random)
                : WatchPacing.asked(env.fleetSize, lines, random);
    }

    /** Takes a list from elsewhere than discovery; on the loop. */
    void listed(EndpointList list) {
        dispatcher.listed(list, false);
    }

    /** How many proxies there are, as far as this one knows; on the loop. */
    void proxies(RouterEvent.FleetSizeChanged proxies) {
        dispatcher.proxies(proxies);
    }

    /** Makes the front of a service. */
    interface FrontMaker {
        Front make(Dispatcher dispatcher, Counters counters);
    }

    /**
     * Begins to look for hosts: from the list as last known, which is old where another tells of hosts, and from discovery where
     * there is one.
     */
    void begin(InetSocketAddress discovery, EndpointList known, boolean old) {
        loop.execute(() -> {
            if (known != null) {
                lines = known.entries().size();
                dispatcher.listed(known, old);
            }
            if (discovery != null) {
                this.discovery = discovery;
                watch(known == null ? -1 : known.revision());
            }
        });
        loop.at(loop.now() + READY_AFTER, () -> listKnown.complete(null));
    }

    /** Lets clients come, once hosts are known; has what they say recorded, if there is a recorder. Returns the port. */
    int open(InetSocketAddress listen, Recorder recorder) throws IOException {
        listKnown.join();
        front.record(recorder);
        int port = SocketRetry.untilMade(() -> front.listen(listen));
        loop.execute(hosts::open);
        System.out.println("serving on " + listen.getHostString() + ":" + port);
        return port;
    }

    /** Has what is said to and by hosts recorded, on connections made from here on; on the loop. */
    void recordHosts(Recorder recorder) {
        hosts.record(recorder);
    }

    /** See {@link Dispatcher#drainBy}; on the loop. */
    void drainBy(long from, long by) {
        dispatcher.drainBy(from, by);
    }

    /** Adds what the people on call are told; on the loop. */
    void addTo(MetricsSnapshot.Builder metrics) {
        dispatcher.addTo(metrics);
    }
}
