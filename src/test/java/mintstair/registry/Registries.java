package mintstair.registry;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import mintstair.config.RegistryConfig;
import mintstair.registry.view.RegistryView;
import mintstair.registry.view.Times;
import mintstair.registry.view.ViewUpdate;
import mintstair.request.EndpointList;

/** A client of a stand-in registry and what it was told, for tests over sockets. */
final class Registries implements AutoCloseable {
    static final String PREFIX = "reg/";
    static final String FRONT = "postgresql";
    final Map<String, EndpointList.Entry> hosts = new ConcurrentHashMap<>();
    final List<ViewUpdate> told = new CopyOnWriteArrayList<>();
    final List<String> lines = new CopyOnWriteArrayList<>();
    final RegistryClient client;

    Registries(RegistryConfig config, long seed) {
        client = new RegistryClient(config, Times.USUAL, seed, this::told);
        client.start();
    }

    static RegistryConfig config(
            RegistryConfig.Kind kind, String user, String secret, RegistryConfig.Tls tls, Path snapshot, int... ports) {
        List<InetSocketAddress> endpoints = new ArrayList<>();
        for (int port : ports) {
            endpoints.add(new InetSocketAddress("127.0.0.1", port));
        }
        return new RegistryConfig(kind, endpoints, PREFIX, List.of(FRONT), user, secret, tls, snapshot, 100_000);
    }

    private void told(List<ViewUpdate> all, RegistryView view) {
        for (ViewUpdate each : all) {
            told.add(each);
            if (each instanceof ViewUpdate.LogLine line) {
                lines.add(line.text());
            } else if (each instanceof ViewUpdate.Endpoints h) {
                if (h.list().whole()) {
                    hosts.clear();
                }
                for (EndpointList.Entry e : h.list().entries()) {
                    if (e.state() == EndpointList.State.REMOVED) {
                        hosts.remove(e.host());
                    } else {
                        hosts.put(e.host(), e);
                    }
                }
            }
        }
    }

    static String key(String uid) {
        return PREFIX + FRONT + "/hosts/" + uid;
    }

    static String host(String uid, int version) {
        return ScheduleTest.host(uid, version);
    }

    /** The boot time that is shown for a host, as the version that {@link #host} wrote; -1 for none. */
    int version(String uid) {
        EndpointList.Entry e = hosts.get(uid);
        return e == null ? -1 : (int) (e.started() / 1000);
    }

    @Override
    public void close() {
        client.close();
    }
}
