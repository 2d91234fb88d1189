package mintstair.serve;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import mintstair.config.NodeConfig;
import mintstair.config.OperatorConfig;
import mintstair.config.RegistryConfig;
import mintstair.control.ControlCommands;
import mintstair.control.ControlServer;
import mintstair.proxy.EventLoop;
import mintstair.request.EndpointList;
import mintstair.routing.RouterEvent;
import mintstair.stats.MetricsSnapshot;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;

/**
 * Starts a proxy: creates its parts, starts them in a fixed order, and accepts clients last. Used once, by one
 * thread.
 *
 * <p>The shutdown hook is installed before the process becomes visible to others. The fronts listen only when endpoints
 * are known and the request path is warmed up: if a predecessor still serves on the same address, this process gets
 * half of the new clients as soon as it listens there.
 */
public final class ProxyStartup {
    /** Longer than two processes run during an upgrade: at most 6 s until ready and 3.7 s after SIGTERM. */
    private static final long UPGRADE_OVERLAP_MICROS = 10_000_000;

    private final NodeConfig config;
    private final OperatorConfig operator;
    private final EventLoop loop = new EventLoop();
    private final TCPNIOTransport transport = ClientTransport.create();
    private final AtomicReference<MetricsSnapshot> latestMetrics =
            new AtomicReference<>(new MetricsSnapshot.Builder().build());
    private final ControlCommands commands = new ControlCommands(latestMetrics::get);
    private final GracefulShutdown shutdown = new GracefulShutdown(loop, commands);

    /** Prepares the start of a proxy with this configuration; opens no connections or listeners. */
    public ProxyStartup(NodeConfig config, OperatorConfig operator) {
        this.config = config;
        this.operator = operator;
    }

    /**
     * Starts the proxy. Returns when clients are accepted, or earlier if the process is terminating.
     *
     * @param file the configuration file, which is reloaded on each signal
     * @throws IOException if a part cannot be started; the message is one line
     */
    public void start(Path file, ReloadSignal reloadSignal) throws IOException {
        if (!shutdown.install()) {
            return;
        }
        SocketRetry.awaitSockets();
        listenForControl();
        transport.start();
        boolean hasPredecessor = ListeningSockets.countAt(config.listen()) > 0;
        TrafficRecording recording = TrafficRecording.open(loop, operator.record(), config.seed(), hasPredecessor);
        DescriptorBudget budget = descriptorBudget();
        ProtocolServices services = startServices(hasPredecessor ? budget.besidePredecessor() : budget);
        StoreService store = openStore(services, hasPredecessor);
        ConfigurationReloader reloader =
                new ConfigurationReloader(loop, services, config, !usesRegistry(RegistryConfig.POSTGRESQL));
        RegistryService registry = startRegistry(services, reloader);
        FleetParticipation membership = joinFleet(services, hasPredecessor);
        reloadSignal.onReload(() -> reloader.reloadFile(file));
        metricsPublisher(services, registry, membership, recording).start();
        loop.at(loop.now() + UPGRADE_OVERLAP_MICROS, () -> setMaxClients(services, budget.clients()));
        WarmUp.run(config.settings(), config.listen(), services.postgresql().front);
        if (services.mongodb() != null && isListInStore()) {
            startMongodbFromStore(services.mongodb(), store);
        }
        recordHosts(recording, services);
        Proxy proxy = new Proxy(services, reloader, recording, registry);
        boolean acceptsClients =
                shutdown.unlessTerminating(() -> shutdown.drainOnExit(proxy, proxy.acceptClients(config, operator)));
        if (!acceptsClients) {
            return;
        }
        if (store != null) {
            store.start(services::onStoreEndpoints);
        }
        commands.setReady(true);
    }

    private void listenForControl() throws IOException {
        if (config.control() == null) {
            return;
        }
        ControlServer control = new ControlServer(commands);
        int port = SocketRetry.retry(() -> control.listen(config.control()));
        System.out.println("control on " + config.control().getHostString() + ":" + port);
    }

    /** Returns the budget of a process without a predecessor. */
    private DescriptorBudget descriptorBudget() {
        int fronts = operator.mongodb() == null ? 1 : 2;
        boolean upgradable = config.control() != null;
        int knownHosts = config.initialEndpoints() == null
                ? 0
                : config.initialEndpoints().entries().size();
        return DescriptorBudget.of(config.maxDescriptors(), fronts, upgradable, knownHosts);
    }

    /**
     * Starts the service of PostgreSQL and, unless its list may come from the store, that of MongoDB, which is created
     * if it is configured.
     */
    private ProtocolServices startServices(DescriptorBudget budget) {
        ProtocolServiceFactory factory = new ProtocolServiceFactory(loop, transport, config, budget);
        ProtocolService postgresql = factory.postgresql();
        InetSocketAddress discovery = usesRegistry(RegistryConfig.POSTGRESQL) ? null : config.discovery();
        postgresql.start(discovery, config.initialEndpoints(), true);
        ProtocolService mongodb = operator.mongodb() == null ? null : factory.mongodb();
        if (mongodb != null && !isListInStore()) {
            startMongodb(mongodb);
        }
        return new ProtocolServices(loop, postgresql, mongodb);
    }

    /** Returns whether the store may hold a list of MongoDB hosts that replaces the operator's. */
    private boolean isListInStore() {
        return operator.store() != null && !usesRegistry(RegistryConfig.MONGODB);
    }

    /**
     * Starts the service of MongoDB with the list that the members of the store have agreed on or, if there is none, with
     * the operator's. Waits for the former, so that no host of an outdated list is connected to.
     */
    private void startMongodbFromStore(ProtocolService mongodb, StoreService store) {
        EndpointList agreed = store.awaitHosts();
        if (agreed == null) {
            startMongodb(mongodb);
        } else {
            mongodb.start(operator.mongodb().discovery(), agreed, false);
        }
    }

    /** Starts with the operator's list, which is final unless discovery, the registry or the store replaces it. */
    private void startMongodb(ProtocolService mongodb) {
        boolean usesRegistry = usesRegistry(RegistryConfig.MONGODB);
        InetSocketAddress discovery = usesRegistry ? null : operator.mongodb().discovery();
        mongodb.start(discovery, operator.mongodb().hosts(), usesRegistry || discovery != null);
    }

    /** Returns whether this front gets its endpoints from the registry instead of a discovery service. */
    private boolean usesRegistry(String front) {
        return operator.registry() != null && operator.registry().fronts().contains(front);
    }

    /** Starts the client of the registry; returns null if none is configured. */
    private RegistryService startRegistry(ProtocolServices services, ConfigurationReloader reloader) {
        if (operator.registry() == null) {
            return null;
        }
        RegistryService registry = new RegistryService(
                operator.registry(),
                config.seed(),
                loop::execute,
                services::onRegistryEndpoints,
                reloader::applyRegistrySettings);
        registry.start();
        return registry;
    }

    /** Joins the fleet, at once or after a predecessor has left it; returns null if none is configured. */
    private FleetParticipation joinFleet(ProtocolServices services, boolean hasPredecessor) throws IOException {
        if (operator.membership() == null) {
            return null;
        }
        int configuredSize = config.settings().fleetSize;
        RouterEvent.FleetSizeChanged unsettled =
                new RouterEvent.FleetSizeChanged(configuredSize, configuredSize, false);
        FleetParticipation participation = new FleetParticipation(
                shutdown,
                commands,
                () -> newMembership(services),
                () -> loop.execute(() -> services.forEach(service -> service.onFleetSize(unsettled))));
        // An address of another machine never becomes free.
        participation.join(
                hasPredecessor && LocalAddresses.isLocal(operator.membership().listen()));
        return participation;
    }

    private MembershipService newMembership(ProtocolServices services) throws IOException {
        return new MembershipService(
                operator.membership(),
                config.name(),
                config.settings().fleetSize,
                config.seed(),
                loop::execute,
                size -> services.forEach(service -> service.onFleetSize(size)));
    }

    private MetricsPublisher metricsPublisher(
            ProtocolServices services,
            RegistryService registry,
            FleetParticipation membership,
            TrafficRecording recording) {
        List<MetricsPublisher.Source> sources = new ArrayList<>();
        services.forEach(service -> sources.add(service::addTo));
        if (registry != null) {
            sources.add(registry::addTo);
        }
        if (membership != null) {
            sources.add(membership::addTo);
        }
        sources.add(recording::addTo);
        return new MetricsPublisher(loop, transport, sources, latestMetrics);
    }

    private static void setMaxClients(ProtocolServices services, int maxClients) {
        services.forEach(service -> service.front.setMaxClients(maxClients));
    }

    private void recordHosts(TrafficRecording recording, ProtocolServices services) {
        if (!recording.recordsHosts()) {
            return;
        }
        loop.execute(() -> {
            services.postgresql().recordHosts(recording.postgresql());
            if (services.mongodb() != null) {
                services.mongodb().recordHosts(recording.mongodb());
            }
        });
    }

    /** Opens the store; returns null if none is configured. */
    private StoreService openStore(ProtocolServices services, boolean hasPredecessor) throws IOException {
        if (operator.store() == null) {
            return null;
        }
        StoreService store = new StoreService(operator.store(), config.name(), hasPredecessor, services::awaitCounters);
        shutdown.closeOnExit(store);
        return store;
    }
}
