package mintstair.serve;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import mintstair.backend.ConnectionPools;
import mintstair.backend.Protocol;
import mintstair.config.InstanceSettings;
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

/**
 * Serves one wire protocol: has a front that accepts clients, the connection pools of the database hosts, and a request
 * router between them. Confined to the event loop, except for {@link #start} and {@link #acceptClients}, which are
 * called on the start-up thread.
 */
final class ProtocolService {
    /** After this time clients are accepted with the configured endpoints, even if no list has been received. */
    private static final long LIST_TIMEOUT_MICROS = 300_000;
    /** The time for the first health checks after the first list; until then no replication position is known. */
    private static final long FIRST_HEALTH_CHECKS_MICROS = 80_000;

    final Counters counters = new Counters();
    final Front front;
    private final EventLoop loop;
    private final ConnectionPools pools;
    private final Dispatcher dispatcher;
    private final DiscoverySubscription discovery;
    private final CompletableFuture<Void> endpointsKnown = new CompletableFuture<>();
    private boolean listReceived;

    /** Creates the front of a service, which does not listen yet. */
    interface FrontFactory {
        Front create(Dispatcher dispatcher, Counters counters);
    }

    ProtocolService(
            EventLoop loop,
            TCPNIOTransport transport,
            Protocol protocol,
            long seed,
            InstanceSettings settings,
            int maxHostConnections,
            FrontFactory frontFactory) {
        this.loop = loop;
        Random random = new Random(seed);
        pools = new ConnectionPools(
                loop,
                protocol,
                transport,
                settings.connectTimeoutMicros,
                settings.connectionIdleMicros,
                maxHostConnections,
                random,
                counters);
        dispatcher = new Dispatcher(
                loop, new RequestRouter(loop.now(), seed, settings), pools, counters, System.out::println);
        front = frontFactory.create(dispatcher, counters);
        settings.classIndexes.keySet().forEach(counters::addRequestClass);
        discovery = new DiscoverySubscription(
                loop, transport, random, counters, settings, list -> onEndpoints(list, false));
    }

    /**
     * Applies the endpoint list known at the start, and watches the discovery service. May be called on any thread.
     *
     * @param service the address of the discovery service to watch; null if the endpoints have another source
     * @param known the list known at the start, or null
     * @param cached whether that list may be outdated, because a list from another source is expected
     */
    void start(InetSocketAddress service, EndpointList known, boolean cached) {
        loop.execute(() -> {
            if (known != null) {
                dispatcher.endpointsUpdated(known, cached);
            }
            if (service != null) {
                discovery.start(service, known);
            }
        });
        loop.at(loop.now() + LIST_TIMEOUT_MICROS, () -> endpointsKnown.complete(null));
    }

    /**
     * Applies a list from the discovery service or the registry; {@code cached} if it was read from the registry's
     * snapshot file.
     */
    void onEndpoints(EndpointList list, boolean cached) {
        dispatcher.endpointsUpdated(list, cached);
        if (!listReceived && !cached) {
            listReceived = true;
            loop.at(loop.now() + FIRST_HEALTH_CHECKS_MICROS, () -> endpointsKnown.complete(null));
        }
    }

    /** Applies a list from the store. It does not count as the list that {@link #acceptClients} waits for. */
    void onStoreEndpoints(EndpointList list) {
        dispatcher.endpointsUpdated(list, false);
    }

    /** Applies changed settings to the discovery subscription, the connection pools and the dispatcher. */
    void applySettings(InstanceSettings settings) {
        discovery.applySettings(settings);
        pools.setTimeouts(settings.connectTimeoutMicros, settings.connectionIdleMicros);
        dispatcher.applySettings(settings);
    }

    /** Changes the address of the discovery service. */
    void changeDiscoveryService(InetSocketAddress service) {
        discovery.changeTo(service);
    }

    /** Applies a change of the fleet size. */
    void onFleetSize(RouterEvent.FleetSizeChanged size) {
        dispatcher.fleetSizeChanged(size);
    }

    /**
     * Waits until endpoints are known, then listens for clients. Called on the start-up thread.
     *
     * @param recorder records the client connections; null if none are recorded
     * @return the port on which the front listens
     */
    int acceptClients(InetSocketAddress listen, Recorder recorder) throws IOException {
        endpointsKnown.join();
        front.record(recorder);
        int port = SocketRetry.retry(() -> front.listen(listen));
        loop.execute(pools::clientsAccepted);
        System.out.println("serving on " + listen.getHostString() + ":" + port);
        return port;
    }

    /** Records the connections to database hosts that are opened from now on. */
    void recordHosts(Recorder recorder) {
        pools.setRecorder(recorder);
    }

    /** Drains the in-flight requests; see {@link Dispatcher#drainBy}. */
    void drainBy(long fromMicros, long byMicros) {
        dispatcher.drainBy(fromMicros, byMicros);
    }

    /** Adds the metrics of this protocol. */
    void addTo(MetricsSnapshot.Builder metrics) {
        dispatcher.addTo(metrics);
    }
}
