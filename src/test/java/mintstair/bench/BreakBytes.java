package mintstair.bench;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicBoolean;
import mintstair.config.RegistryConfig;
import mintstair.program.Program;
import mintstair.registry.RegistryClient;
import mintstair.registry.etcd.EtcdMember;
import mintstair.registry.view.ViewTimeouts;
import mintstair.standin.RegistryModel;
import mintstair.standin.TcpRelay;

/**
 * Bytes that a break costs in a registry at rest: this client's, and a whole reading, as a plain client makes after
 * each.
 */
final class BreakBytes {
    private static final int BREAKS = 10;

    private BreakBytes() {}

    static long[] measure(int keys) throws IOException {
        RegistryModel model = new RegistryModel();
        TreeMap<String, String> all = new TreeMap<>();
        for (int i = 0; i < keys; i++) {
            all.put(
                    "reg/postgresql/hosts/h" + i,
                    "{\"uid\":\"h" + i + "\",\"endpoint\":\"127.0.0.1:5432\",\"az\":\"a\",\"model\":\"m2\","
                            + "\"pod_group\":1,\"state\":\"SERVING\",\"capacity_hint\":1.0,\"boot_ms\":0,\"rank\":\"copy\"}");
        }
        model.change(all);
        AtomicBoolean live = new AtomicBoolean();
        try (EtcdMember member = new EtcdMember(model);
                TcpRelay relay = new TcpRelay(member.port())) {
            RegistryConfig config = new RegistryConfig(
                    RegistryConfig.Kind.ETCD,
                    List.of(new InetSocketAddress("127.0.0.1", relay.port())),
                    "reg/",
                    List.of("postgresql"),
                    null,
                    null,
                    null,
                    null,
                    1_000_000);
            try (RegistryClient client =
                    new RegistryClient(config, ViewTimeouts.DEFAULT, 1, (told, view) -> live.set(true))) {
                client.start();
                Program.await(live::get, "the first reading");
                long plain = relay.bytesToClients.get();
                for (int i = 1; i <= BREAKS; i++) {
                    relay.closeAll();
                    long at = model.change(Map.of(
                            "reg/postgresql/hosts/h0",
                            "{\"uid\":\"h0\",\"endpoint\":\"127.0.0.1:" + i
                                    + "\",\"az\":\"a\",\"pod_group\":1,\"state\":\"SERVING\"}"));
                    Program.await(() -> client.metrics().revision() == at, "the change behind the break");
                }
                return new long[] {(relay.bytesToClients.get() - plain) / BREAKS, plain};
            }
        }
    }
}
