package mintstair.registry;

import static mintstair.program.Program.await;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import mintstair.config.RegistryConfig;
import mintstair.registry.view.RegistryView;
import mintstair.registry.view.ViewMetrics;
import mintstair.registry.view.ViewTimeouts;
import mintstair.registry.view.ViewUpdate;
import mintstair.request.EndpointList;

/** A running registry client that records its updates, for tests against stand-in servers over sockets. */
final class RecordingClient implements AutoCloseable {
    final Map<String, EndpointList.Entry> hosts = new ConcurrentHashMap<>();
    final List<ViewUpdate> updates = new CopyOnWriteArrayList<>();
    private final List<String> log = new CopyOnWriteArrayList<>();
    private final RegistryClient client;

    RecordingClient(RegistryConfig config, long seed) {
        client = new RegistryClient(config, ViewTimeouts.DEFAULT, seed, this::onUpdates);
        client.start();
    }

    /** Returns the configuration of a registry on the local host without users, TLS or a snapshot. */
    static RegistryConfig config(RegistryConfig.Kind kind, int... ports) {
        return config(kind, null, null, null, null, ports);
    }

    /** Returns the configuration of a registry on the local host; user, secret, TLS and snapshot may be null. */
    static RegistryConfig config(
            RegistryConfig.Kind kind, String user, String secret, RegistryConfig.Tls tls, Path snapshot, int... ports) {
        List<InetSocketAddress> servers = new ArrayList<>();
        for (int port : ports) {
            servers.add(new InetSocketAddress("127.0.0.1", port));
        }
        return new RegistryConfig(
                kind,
                servers,
                RegistryFixtures.PREFIX,
                List.of(RegistryFixtures.FRONT),
                user,
                secret,
                tls,
                snapshot,
                100_000);
    }

    private void onUpdates(List<ViewUpdate> newUpdates, RegistryView view) {
        for (ViewUpdate update : newUpdates) {
            updates.add(update);
            if (update instanceof ViewUpdate.LogLine line) {
                log.add(line.text());
            } else if (update instanceof ViewUpdate.Endpoints endpoints) {
                apply(endpoints.list());
            }
        }
    }

    private void apply(EndpointList list) {
        if (list.isSnapshot()) {
            hosts.clear();
        }
        for (EndpointList.Entry entry : list.entries()) {
            if (entry.state() == EndpointList.State.REMOVED) {
                hosts.remove(entry.host());
            } else {
                hosts.put(entry.host(), entry);
            }
        }
    }

    /** Returns the version of a host, as given to {@link RegistryFixtures#hostJson}; -1 if the host is unknown. */
    int version(String uid) {
        EndpointList.Entry entry = hosts.get(uid);
        return entry == null ? -1 : (int) (entry.startedAtMicros() / 1000);
    }

    void awaitVersion(String uid, int version) {
        await(
                () -> version(uid) == version,
                "host " + uid + " at version " + version + "; hosts " + hosts + ", log " + log);
    }

    void awaitCount(String metric, long atLeast) {
        await(() -> count(metric) >= atLeast, "metric " + metric + " of at least " + atLeast);
    }

    ViewMetrics metrics() {
        return client.metrics();
    }

    long count(String metric) {
        return metrics().counts().getOrDefault(metric, 0L);
    }

    @Override
    public void close() {
        client.close();
    }
}
