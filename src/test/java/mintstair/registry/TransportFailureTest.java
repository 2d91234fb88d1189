package mintstair.registry;

import static mintstair.program.Program.await;
import static mintstair.registry.RecordingClient.config;
import static mintstair.registry.RegistryFixtures.hostJson;
import static mintstair.registry.RegistryFixtures.hostKey;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import mintstair.config.RegistryConfig.Kind;
import mintstair.registry.etcd.EtcdMember;
import mintstair.standin.ConsulServer;
import mintstair.standin.RegistryModel;
import mintstair.standin.TcpRelay;
import org.junit.jupiter.api.Test;

/**
 * Tests that the client receives every change over both transports while its connections and servers fail. It follows
 * two stand-in servers, each behind a relay that can interrupt the connection.
 */
class TransportFailureTest {
    private static final long OTHER_CLUSTER_ID = 0xBEEF;

    private final RegistryModel model = new RegistryModel();

    private void putHost(String uid, int version) {
        model.put(hostKey(uid), hostJson(uid, version));
    }

    /** A failure of the server in use or of its relay, which lasts until it is repaired. */
    private interface Failure {
        void begin() throws IOException;
    }

    @Test
    void etcdChangesArriveDespiteEachKindOfFailure() throws Exception {
        model.change(manyHosts(1_200));
        try (EtcdMember one = new EtcdMember(model);
                EtcdMember two = new EtcdMember(model);
                TcpRelay first = new TcpRelay(one.port());
                TcpRelay second = new TcpRelay(two.port());
                RecordingClient client = new RecordingClient(config(Kind.ETCD, first.port(), second.port()), 3)) {
            client.awaitVersion("h1199", 1199);
            assertTrue(one.reads.get() + two.reads.get() >= 3, "expected at least three pages");
            assertFragmentsArrive(one, two, client);

            for (int kind = 0; kind < 8; kind++) {
                int server = client.metrics().server();
                TcpRelay relay = server == 0 ? first : second;
                EtcdMember member = server == 0 ? one : two;
                etcdFailures(member, relay, List.of(first, second)).get(kind).begin();
                putHost("h3", 6000 + kind);
                client.awaitVersion("h3", 6000 + kind);
                repair(relay);
                member.noLeader = false;
                member.lagsAt = -1;
                // The next failure must occur after the watch was created.
                await(() -> client.metrics().ageMicros() < 300_000, "a confirmed view after failure " + kind);
            }

            // Metrics are published after the listener has received the updates that they describe.
            await(() -> client.metrics().clusterId() == OTHER_CLUSTER_ID, "the metrics of the last update");
            assertEquals(-1, client.version("h9"), "h9 was deleted before the compaction");
            assertEquals(7000, client.version("h8"));
            assertEquals(1, client.count("compacted"));
            assertEquals(OTHER_CLUSTER_ID, client.metrics().clusterId());
        }
    }

    private static Map<String, String> manyHosts(int count) {
        TreeMap<String, String> hosts = new TreeMap<>();
        for (int i = 0; i < count; i++) {
            hosts.put(hostKey("h" + i), hostJson("h" + i, i));
        }
        return hosts;
    }

    private void assertFragmentsArrive(EtcdMember one, EtcdMember two, RecordingClient client) {
        one.maxChangesPerMessage = 1;
        two.maxChangesPerMessage = 1;
        model.change(new TreeMap<>(Map.of(hostKey("h1"), hostJson("h1", 5001), hostKey("h2"), hostJson("h2", 5002))));
        client.awaitVersion("h2", 5002);
        assertEquals(5001, client.version("h1"));
    }

    private List<Failure> etcdFailures(EtcdMember member, TcpRelay relay, List<TcpRelay> allRelays) {
        return List.of(
                relay::closeAll,
                () -> relay.closeAfter(37),
                () -> relay.setRefusing(true),
                () -> relay.setSilent(true),
                () -> member.lagsAt = model.revision,
                () -> compactWhileDisconnected(relay),
                () -> member.noLeader = true,
                () -> restoreAsOtherCluster(allRelays));
    }

    private void compactWhileDisconnected(TcpRelay relay) {
        relay.closeAll();
        model.delete(hostKey("h9"));
        putHost("h8", 7000);
        model.compact(model.revision);
    }

    private void restoreAsOtherCluster(List<TcpRelay> relays) {
        model.restore(model.revision - 1, OTHER_CLUSTER_ID);
        for (TcpRelay relay : relays) {
            relay.closeAll();
        }
    }

    @Test
    void consulChangesArriveDespiteEachKindOfFailure() throws Exception {
        putHost("a", 1);
        try (ConsulServer one = new ConsulServer(model, null);
                ConsulServer two = new ConsulServer(model, null);
                TcpRelay first = new TcpRelay(one.port());
                TcpRelay second = new TcpRelay(two.port());
                RecordingClient client = new RecordingClient(config(Kind.CONSUL, first.port(), second.port()), 3)) {
            client.awaitVersion("a", 1);

            for (int kind = 0; kind < 8; kind++) {
                int index = client.metrics().server();
                TcpRelay relay = index == 0 ? first : second;
                ConsulServer server = index == 0 ? one : two;
                consulFailures(server, relay, client).get(kind).begin();
                putHost("a", 10 + kind);
                client.awaitVersion("a", 10 + kind);
                repair(relay);
                server.status = 0;
                server.noLeader = false;
            }

            // Metrics are published after the listener has received the updates that they describe.
            await(() -> client.count("set_back") > 0, "the metrics of the last update");
            assertEquals(1, client.count("set_back"));
            assertEquals(-1, client.version("gone"));
        }
    }

    private List<Failure> consulFailures(ConsulServer server, TcpRelay relay, RecordingClient client) {
        return List.of(
                relay::closeAll,
                () -> relay.closeAfter(30),
                () -> relay.setRefusing(true),
                () -> relay.setSilent(true),
                () -> server.status = 429,
                () -> server.status = 503,
                () -> server.noLeader = true,
                () -> restoreWithoutTheLastHost(client));
    }

    private void restoreWithoutTheLastHost(RecordingClient client) {
        putHost("gone", 1);
        client.awaitVersion("gone", 1);
        model.restore(model.revision - 3, 0);
    }

    private static void repair(TcpRelay relay) throws IOException {
        relay.setRefusing(false);
        relay.setSilent(false);
    }
}
