package mintstair.serve;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicReference;
import mintstair.config.NodeConfig;
import mintstair.config.OperatorConfig;
import mintstair.control.ControlCommands;
import mintstair.control.ControlServer;
import mintstair.discovery.EndpointWatch;
import mintstair.discovery.pace.WatchPacing;
import mintstair.proxy.EventLoop;
import mintstair.stats.MetricsSnapshot;
import mintstair.wire.PgWriter;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;

/**
 * The {@code check} command: starts the PostgreSQL front of a configuration on free loopback ports, without
 * discovery, and queries it. The build also runs it once to create the class data archive, so it must load every class
 * that a start with the same configuration loads; each class missing from the archive slows down every start.
 */
public final class ConfigurationCheck {
    private static final InetSocketAddress ANY_LOOPBACK_PORT = new InetSocketAddress("127.0.0.1", 0);
    private static final DescriptorBudget BUDGET = new DescriptorBudget(16, 16);
    private static final int TIMEOUT_MILLIS = 10_000;

    private static final int PROTOCOL_VERSION = 196608;
    /** The length of EmptyQueryResponse and ReadyForQuery, the last messages that the front sends. */
    private static final int EMPTY_QUERY_RESPONSE_BYTES = 11;

    private ConfigurationCheck() {}

    /**
     * Checks that a proxy can serve with this configuration, and prints a line if so.
     *
     * @throws IOException if it cannot; the message is one line
     */
    public static void run(NodeConfig config) throws IOException {
        EventLoop loop = new EventLoop();
        TCPNIOTransport transport = ClientTransport.create();
        AtomicReference<MetricsSnapshot> latestMetrics = new AtomicReference<>(new MetricsSnapshot.Builder().build());
        ControlCommands commands = new ControlCommands(latestMetrics::get);
        transport.start();
        ProtocolService service = new ProtocolServiceFactory(loop, transport, config, BUDGET).postgresql();
        service.start(null, config.initialEndpoints(), false);
        loadStartupClasses(config, loop, transport, service, commands);
        loop.execute(new MetricsPublisher(loop, transport, List.of(service::addTo), latestMetrics)::publish);
        new ControlServer(commands).listen(ANY_LOOPBACK_PORT);
        WarmUp.run(config.settings(), ANY_LOOPBACK_PORT, service.front);
        queryFront(service.acceptClients(ANY_LOOPBACK_PORT, null));
        System.out.println("the configuration can be served");
    }

    /** Creates the other parts of a proxy, to load their classes, without starting them. */
    private static void loadStartupClasses(
            NodeConfig config,
            EventLoop loop,
            TCPNIOTransport transport,
            ProtocolService service,
            ControlCommands commands) {
        new ReloadSignal();
        new EndpointWatch(
                loop,
                transport,
                config.discovery(),
                -1,
                WatchPacing.forLocalAgent(0, new Random(1)),
                service.counters,
                list -> {});
        ProtocolServices services = new ProtocolServices(loop, service, null);
        ConfigurationReloader reloader = new ConfigurationReloader(loop, services, config, true);
        new Proxy(services, reloader, TrafficRecording.NONE, null);
        new GracefulShutdown(loop, commands);
        new ProxyStartup(config, OperatorConfig.NONE);
    }

    private static void queryFront(int port) throws IOException {
        try (Socket client = new Socket("127.0.0.1", port)) {
            client.setSoTimeout(TIMEOUT_MILLIS);
            client.getOutputStream()
                    .write(new PgWriter()
                            .packet(PROTOCOL_VERSION, "user", "web", "database", "orders", "")
                            .message('Q', "")
                            .message('X')
                            .bytes());
            byte[] response = client.getInputStream().readAllBytes();
            if (!endsWithEmptyQueryResponse(response)) {
                throw new StartupException("the front did not send EmptyQueryResponse to an empty query");
            }
        }
    }

    private static boolean endsWithEmptyQueryResponse(byte[] response) {
        return response.length > EMPTY_QUERY_RESPONSE_BYTES
                && response[response.length - EMPTY_QUERY_RESPONSE_BYTES] == 'I';
    }
}
