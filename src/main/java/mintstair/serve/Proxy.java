package mintstair.serve;

import java.io.IOException;
import java.net.InetSocketAddress;
import mintstair.config.NodeConfig;
import mintstair.config.OperatorConfig;

/** The parts of a running proxy, which {@link ProxyStartup} has created and connected. Immutable. */
final class Proxy implements AutoCloseable {
    private final ProtocolServices services;
    private final ConfigurationReloader reloader;
    private final TrafficRecording recording;
    private final RegistryService registry;

    /** {@code registry} is null if none is configured. */
    Proxy(
            ProtocolServices services,
            ConfigurationReloader reloader,
            TrafficRecording recording,
            RegistryService registry) {
        this.services = services;
        this.reloader = reloader;
        this.recording = recording;
        this.registry = registry;
    }

    /**
     * Waits until endpoints are known, then accepts clients of all protocols.
     *
     * @return the address on which the PostgreSQL front listens
     */
    InetSocketAddress acceptClients(NodeConfig config, OperatorConfig operator) throws IOException {
        InetSocketAddress listen = config.listen();
        int port = services.postgresql().acceptClients(listen, recording.postgresql());
        if (services.mongodb() != null) {
            services.mongodb().acceptClients(operator.mongodb().listen(), recording.mongodb());
        }
        return new InetSocketAddress(listen.getAddress(), port);
    }

    ProtocolServices services() {
        return services;
    }

    /** Returns the longest request deadline of the current settings. */
    long longestDeadlineMicros() {
        return reloader.longestDeadlineMicros();
    }

    /** Prints the final counters and closes the recording and the registry client. Called after clients are drained. */
    @Override
    public void close() {
        services.forEach(service -> System.out.println("counters: " + service.counters));
        recording.close();
        if (registry != null) {
            registry.close();
        }
    }
}
