package mintstair.serve;

import java.io.IOException;
import java.net.InetSocketAddress;
import mintstair.backend.Backends;
import mintstair.backend.Protocol;
import mintstair.config.Env;
import mintstair.discovery.Watch;
import mintstair.front.Front;
import mintstair.front.Recorder;
import mintstair.proxy.Dispatcher;
import mintstair.proxy.Loop;
import mintstair.request.HostList;
import mintstair.routing.RequestRouter;
import mintstair.stats.Counters;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;

/** One front and the hosts behind it, of one protocol, with a router of its own between them. */
final class Service {
    /** The list is known by then, or what was known at the start has to do. */
    private static final long READY_AFTER = 300_000;
    /** After the list the first polls come back within this: before, replicas' positions are not known. */
    private static final long POLLED_AFTER = 80_000;

    final Counters counters = new Counters();
    final Front front;
    private final Loop loop;
    private final TCPNIOTransport transport;
    private final Dispatcher dispatcher;
    private boolean told;
    private boolean listKnown;
    private boolean rehearsing;
    private String address;
    private Watch watch;

    Service(Loop loop, TCPNIOTransport transport, Protocol protocol, long seed, Env env, int mostHostConnections,
            FrontMaker maker) {
        this.loop = loop;
        this.transport = transport;
        Backends hosts = new Backends(loop, protocol, transport, env.connectTimeout, env.connectionIdle,
            mostHostConnections, counters);
        dispatcher = new Dispatcher(loop, new RequestRouter(loop.now(), seed, env), hosts, counters,
            System.out::println);
        front = maker.make(dispatcher, counters);
    }

    private void toldByDiscovery(HostList list) {
        dispatcher.listed(list, false);
        if (!told) {
            told = true;
            loop.at(loop.now() + POLLED_AFTER, this::listKnown);
        }
    }

    private void listKnown() {
        listKnown = true;
        readyIfAll();
    }

    /** Holds the front back until it is opened: the code that serves is being run for the first times; on the loop. */
    void holdBack() {
        rehearsing = true;
    }

    private void readyIfAll() {
        if (listKnown && !rehearsing) {
            front.ready();
        }
    }

    /** Watches this discovery from now on, and no other; what the last one told stands until this one speaks. */
    void discover(InetSocketAddress address) {
        if (watch != null) {
            watch.end();
        }
        watch = new Watch(loop, transport, address, this::toldByDiscovery);
        watch.start();
    }

    /** Takes a list from elsewhere than discovery; on the loop. */
    void listed(HostList list) {
        dispatcher.listed(list, false);
    }

    /** Makes the front of a service. */
    interface FrontMaker {
        Front make(Dispatcher dispatcher, Counters counters);
    }

    /** Begins to serve: from the list as last known, and from discovery where there is one; returns the port. */
    int start(InetSocketAddress listen, InetSocketAddress discovery, HostList known) throws IOException {
        loop.execute(() -> {
            if (known != null) {
                dispatcher.listed(known, discovery != null);
            }
            if (discovery != null) {
                discover(discovery);
            }
        });
        int port = front.listen(listen);
        loop.at(loop.now() + READY_AFTER, this::listKnown);
        address = listen.getHostString() + ":" + port;
        return port;
    }

    /** Says that clients may come, and has what they say recorded from here on, if there is a recorder. */
    void open(Recorder recorder) {
        front.record(recorder);
        rehearsing = false;
        readyIfAll();
        System.out.println("serving on " + address);
    }
}
