package mintstair.bench;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import mintstair.config.RegistryConfig;
import mintstair.program.Program;
import mintstair.registry.RegistryClient;
import mintstair.registry.etcd.EtcdMember;
import mintstair.registry.view.Times;
import mintstair.standin.RegistryModel;
import mintstair.standin.Relay;

/** 48 clients of one registry that loses its majority and all its connections at once: the most calls in any 20 ms, as a rate by the second. */
final class HerdCalls {
    private static final int CLIENTS = 48;
    private static final long LOST_MILLIS = 4_000;
    private static final long WINDOW = 20_000_000;

    private HerdCalls() { }

    /** Without jitter all clients throw the same dice, so that their waits are alike. */
    static int peak(boolean jitter) throws IOException {
        RegistryModel model = new RegistryModel();
        model.put("reg/postgresql/hosts/a", "{\"uid\":\"a\",\"endpoint\":\"127.0.0.1:1\",\"az\":\"a\",\"pod_group\":1,\"state\":\"SERVING\"}");
        List<RegistryClient> clients = new ArrayList<>();
        ConcurrentLinkedQueue<Long> calls = new ConcurrentLinkedQueue<>();
        try (EtcdMember member = new EtcdMember(model); Relay relay = new Relay(member.port())) {
            InetSocketAddress address = new InetSocketAddress("127.0.0.1", relay.port());
            for (int c = 0; c < CLIENTS; c++) {
                clients.add(new RegistryClient(new RegistryConfig(RegistryConfig.Kind.ETCD, List.of(address, address, address), "reg/",
                    List.of("postgresql"), null, null, null, null, 1_000_000), Times.USUAL, jitter ? c : 1, (told, view) -> { }));
            }
            clients.forEach(RegistryClient::start);
            Program.await(() -> clients.stream().allMatch(c -> c.figures().live()), "all clients");
            member.noLeader = true;
            member.onCall = () -> calls.add(System.nanoTime());
            relay.cut();
            RegistryBench.pause(LOST_MILLIS);
            member.noLeader = false;
            Program.await(() -> clients.stream().allMatch(c -> c.figures().age() < 1_000_000), "all clients again");
        } finally {
            clients.forEach(RegistryClient::close);
        }
        TreeMap<Long, Integer> windows = new TreeMap<>();
        calls.forEach(at -> windows.merge(at / WINDOW, 1, Integer::sum));
        return windows.values().stream().max(Integer::compare).orElse(0) * (int) (1_000_000_000 / WINDOW);
    }
}
