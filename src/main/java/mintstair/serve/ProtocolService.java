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
 * One wire protocol end to end: the front that accepts its clients, the connection pools of its database hosts, and a
 * request router of its own between them. Confined to the event loop, but for {@link #begin} and {@link #open}, which
 * the start-up thread calls.
 */
final class ProtocolService {
    /** After this time clients are accepted with the endpoints known at the start, though no list has arrived. */
    private static final long LIST_TIMEOUT_MICROS = 300_000;
    /** From the first list to the end of the first health checks: before, no replica's position is known. */
    private static final long FIRST_HEALTH_CHECKS_MICROS = 80_000;

    final Counters counters = new Counters();
    final Front front;
    private final EventLoop loop;
    private final ConnectionPools pools;
    private final Dispatcher dispatcher;
    private final DiscoverySubscription discovery;
    private final CompletableFuture<Void> endpointsKnown = new CompletableFuture<>();
    private boolean listReceived;

    /** Creates the front of a service; it does not listen yet. */
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
     * Begins to learn the endpoints; on any thread.
     *
     * @param service the discovery service to watch, or null where a registry stands in for it
     * @param known the list known at the start, or null
     * @param cached whether that list may be outdated, as another source of lists is expected
     */
    void begin(InetSocketAddress service, EndpointList known, boolean cached) {
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
     * Applies a list of discovery or the registry; {@code cached} where it is what the registry's snapshot file had.
     */
    void onEndpoints(EndpointList list, boolean cached) {
        dispatcher.endpointsUpdated(list, cached);
        if (!listReceived && !cached) {
            listReceived = true;
            loop.at(loop.now() + FIRST_HEALTH_CHECKS_MICROS, () -> endpointsKnown.complete(null));
        }
    }

    /** Applies a list that comes from neither, as the one in the store. */
    void onOtherEndpoints(EndpointList list) {
        dispatcher.endpointsUpdated(list, false);
    }

    /** Applies all of these settings. */
    void applySettings(InstanceSettings settings) {
        discovery.applySettings(settings);
        pools.setTimeouts(settings.connectTimeoutMicros, settings.connectionIdleMicros);
        dispatcher.applySettings(settings);
    }

    /** Watches this discovery service from now on. */
    void discoverAt(InetSocketAddress service) {
        discovery.changeTo(service);
    }

    /** Applies a change of the fleet's size. */
    void onFleetSize(RouterEvent.FleetSizeChanged size) {
        dispatcher.fleetSizeChanged(size);
    }

    /**
     * Accepts clients once endpoints are known; blocks until then. On the start-up thread.
     *
     * @param recorder records the clients' connections; null for none
     * @return the port
     */
    int open(InetSocketAddress listen, Recorder recorder) throws IOException {
        endpointsKnown.join();
        front.record(recorder);
        int port = SocketRetry.retry(() -> front.listen(listen));
        loop.execute(pools::clientsAccepted);
        System.out.println("serving on " + listen.getHostString() + ":" + port);
        return port;
    }

    /** Records connections to database hosts that are made from now on. */
    void recordHosts(Recorder recorder) {
        pools.setRecorder(recorder);
    }

    /** See {@link Dispatcher#drainBy}. */
    void drainBy(long fromMicros, long byMicros) {
        dispatcher.drainBy(fromMicros, byMicros);
    }

    /** Adds this protocol's metrics. */
    void addTo(MetricsSnapshot.Builder metrics) {
        dispatcher.addTo(metrics);
    }
}
