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
 * The {@code check} command: starts the front of a configuration on free ports of the loopback, without discovery,
 * and queries it. The build runs it once to archive the classes that it loads, so that it touches every part that a
 * start with the same configuration loads; a part that it leaves out makes each start slower.
 */
public final class ConfigurationCheck {
    private static final InetSocketAddress ANY_LOOPBACK_PORT = new InetSocketAddress("127.0.0.1", 0);
    private static final DescriptorBudget BUDGET = new DescriptorBudget(16, 16);
    private static final int TIMEOUT_MILLIS = 10_000;

    private static final int PROTOCOL_VERSION = 196608;
    /** The response to an empty query, EmptyQueryResponse and ReadyForQuery, is the end of what the front sends. */
    private static final int EMPTY_QUERY_RESPONSE_BYTES = 11;

    private ConfigurationCheck() {}

    /** Prints a line and returns where the configuration can be served; throws with a message of one line otherwise. */
    public static void run(NodeConfig config) throws IOException {
        EventLoop loop = new EventLoop();
        TCPNIOTransport transport = ClientTransport.create();
        AtomicReference<MetricsSnapshot> latestMetrics = new AtomicReference<>(new MetricsSnapshot.Builder().build());
        ControlCommands commands = new ControlCommands(latestMetrics::get);
        transport.start();
        ProtocolService service = new ProtocolServiceFactory(loop, transport, config, BUDGET).postgresql();
        service.begin(null, config.initialEndpoints(), false);
        loadStartupClasses(config, loop, transport, service, commands);
        loop.execute(new MetricsPublisher(loop, transport, List.of(service::addTo), latestMetrics)::publish);
        new ControlServer(commands).listen(ANY_LOOPBACK_PORT);
        WarmUp.run(config.settings(), ANY_LOOPBACK_PORT, service.front);
        queryFront(service.open(ANY_LOOPBACK_PORT, null));
        System.out.println("the configuration can be served");
    }

    /** Creates what a start needs beside, and starts none of it. */
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
                throw new StartupException("the front did not answer an empty query");
            }
        }
    }

    private static boolean endsWithEmptyQueryResponse(byte[] response) {
        return response.length > EMPTY_QUERY_RESPONSE_BYTES
                && response[response.length - EMPTY_QUERY_RESPONSE_BYTES] == 'I';
    }
}
