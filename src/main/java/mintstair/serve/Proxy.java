package mintstair.serve;

import java.io.IOException;
import java.net.InetSocketAddress;
import mintstair.config.NodeConfig;
import mintstair.config.OperatorConfig;

/** What runs in one process once it has started; wired by {@link ProxyStartup}. Immutable. */
final class Proxy implements AutoCloseable {
    private final ProtocolServices services;
    private final ConfigurationReloader reloader;
    private final TrafficRecording recording;
    private final RegistryService registry;

    /** {@code registry} is null where none is set up. */
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
     * Accepts clients of every protocol from now on; blocks until endpoints are known.
     *
     * @return the address that PostgreSQL's front listens on
     */
    InetSocketAddress open(NodeConfig config, OperatorConfig operator) throws IOException {
        InetSocketAddress listen = config.listen();
        int port = services.postgresql().open(listen, recording.postgresql());
        if (services.mongodb() != null) {
            services.mongodb().open(operator.mongodb().listen(), recording.mongodb());
        }
        return new InetSocketAddress(listen.getAddress(), port);
    }

    ProtocolServices services() {
        return services;
    }

    /** The longest time that a request may take by the settings in force. */
    long longestDeadlineMicros() {
        return reloader.longestDeadlineMicros();
    }

    /** Prints the final counters and closes what has files or connections of its own; once no client is left. */
    @Override
    public void close() {
        services.forEach(service -> System.out.println("counters: " + service.counters));
        recording.close();
        if (registry != null) {
            registry.close();
        }
    }
}
