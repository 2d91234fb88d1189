package mintstair.serve;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletionException;
import java.util.concurrent.atomic.AtomicReference;
import mintstair.config.NodeConfig;
import mintstair.config.OperatorConfig;
import mintstair.config.RegistryConfig;
import mintstair.control.ControlCommands;
import mintstair.control.ControlServer;
import mintstair.proxy.EventLoop;
import mintstair.stats.MetricsSnapshot;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;

/**
 * Starts a proxy: creates its parts, starts them in a fixed order, and accepts clients last. Used once, by one
 * thread.
 *
 * <p>The shutdown hook stands before anything that others could learn of. Services learn their endpoints, and the
 * request path is warmed up, before the fronts listen: a predecessor may still serve on the same address, and as soon
 * as this process listens there, half of the new clients are its own.
 */
public final class ProxyStartup {
    /** Longer than an upgrade has two processes: 6 s to become ready, and 3.7 s after SIGTERM. */
    private static final long UPGRADE_OVERLAP_MICROS = 10_000_000;
    /** The exit status after a part could not be started. */
    private static final int FAILURE_STATUS = 2;

    private final NodeConfig config;
    private final OperatorConfig operator;
    private final EventLoop loop = new EventLoop();
    private final TCPNIOTransport transport = ClientTransport.create();
    private final AtomicReference<MetricsSnapshot> latestMetrics =
            new AtomicReference<>(new MetricsSnapshot.Builder().build());
    private final ControlCommands commands = new ControlCommands(latestMetrics::get);
    private final GracefulShutdown shutdown = new GracefulShutdown(loop, commands);

    /** Prepares a proxy of this configuration; nothing is opened before it is started. */
    public ProxyStartup(NodeConfig config, OperatorConfig operator) {
        this.config = config;
        this.operator = operator;
    }

    /**
     * Starts to serve; returns once clients are accepted, or at once where the process is terminating already.
     *
     * @param file the configuration file, which is read anew at each signal
     * @throws IOException where a part cannot be started; its message is one line
     */
    public void start(Path file, ReloadSignal reloadSignal) throws IOException {
        if (!shutdown.install()) {
            return;
        }
        SocketRetry.awaitSockets();
        listenForControl();
        transport.start();
        TrafficRecording recording = TrafficRecording.open(loop, operator.record(), config.seed());
        DescriptorBudget budget = descriptorBudget();
        ProtocolServices services = startServices(budget);
        ConfigurationReloader reloader =
                new ConfigurationReloader(loop, services, config, !isRegistered(RegistryConfig.POSTGRESQL));
        RegistryService registry = startRegistry(services, reloader);
        MembershipService membership = joinFleet(services);
        reloadSignal.onReload(() -> reloader.reloadFile(file));
        metricsPublisher(services, registry, membership, recording).start();
        loop.at(loop.now() + UPGRADE_OVERLAP_MICROS, () -> allowClients(services, budget.clients()));
        WarmUp.run(config.settings(), config.listen(), services.postgresql().front);
        recordHosts(recording, services);
        Proxy proxy = new Proxy(services, reloader, recording, registry);
        boolean opened = shutdown.unlessTerminating(() -> shutdown.drainOnExit(proxy, proxy.open(config, operator)));
        if (!opened) {
            return;
        }
        startStore(services);
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

    /** The budget of a process that has the host's descriptors to itself. */
    private DescriptorBudget descriptorBudget() {
        int fronts = operator.mongodb() == null ? 1 : 2;
        boolean upgradable = config.control() != null;
        int knownHosts = config.initialEndpoints() == null
                ? 0
                : config.initialEndpoints().entries().size();
        return DescriptorBudget.of(config.maxDescriptors(), fronts, upgradable, knownHosts);
    }

    private ProtocolServices startServices(DescriptorBudget budget) {
        boolean predecessorListens = ListeningSockets.countAt(config.listen()) > 0;
        DescriptorBudget initial = predecessorListens ? budget.besidePredecessor() : budget;
        ProtocolServiceFactory factory = new ProtocolServiceFactory(loop, transport, config, initial);
        ProtocolService postgresql = factory.postgresql();
        InetSocketAddress discovery = isRegistered(RegistryConfig.POSTGRESQL) ? null : config.discovery();
        postgresql.begin(discovery, config.initialEndpoints(), true);
        ProtocolService mongodb = operator.mongodb() == null ? null : startMongodb(factory, operator.mongodb());
        return new ProtocolServices(loop, postgresql, mongodb);
    }

    /** The operator's list of hosts is all there is, unless discovery or the registry replaces it. */
    private ProtocolService startMongodb(ProtocolServiceFactory factory, OperatorConfig.MongodbFront mongodb) {
        boolean registered = isRegistered(RegistryConfig.MONGODB);
        ProtocolService service = factory.mongodb();
        service.begin(
                registered ? null : mongodb.discovery(), mongodb.hosts(), registered || mongodb.discovery() != null);
        return service;
    }

    /** Whether the registry stands in for the discovery of this front. */
    private boolean isRegistered(String front) {
        return operator.registry() != null && operator.registry().fronts().contains(front);
    }

    /** The registry's client; null where none is set up. */
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

    /** Joins the fleet; null where none is set up, or the process is terminating. */
    private MembershipService joinFleet(ProtocolServices services) throws IOException {
        if (operator.membership() == null) {
            return null;
        }
        AtomicReference<MembershipService> joined = new AtomicReference<>();
        shutdown.unlessTerminating(() -> {
            MembershipService membership = SocketRetry.retry(() -> newMembership(services));
            joined.set(membership);
            shutdown.leaveOnExit(membership);
            commands.setMembers(membership::lines);
            membership.start();
        });
        return joined.get();
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
            MembershipService membership,
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

    private static void allowClients(ProtocolServices services, int clients) {
        services.forEach(service -> service.front.setMaxClients(clients));
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

    /**
     * Clients may have connected by now: where the store cannot be started, they are drained before the process ends
     * with the status of the fault.
     */
    private void startStore(ProtocolServices services) throws IOException {
        if (operator.store() == null) {
            return;
        }
        try {
            shutdown.closeOnExit(new StoreService(
                    operator.store(), config.name(), services::onStoreEndpoints, services::awaitCounters));
        } catch (IOException | CompletionException e) {
            shutdown.exitWith(FAILURE_STATUS);
            Throwable reason = e.getCause() == null ? e : e.getCause();
            throw new StartupException("store: " + reason.getMessage(), e);
        }
    }
}
