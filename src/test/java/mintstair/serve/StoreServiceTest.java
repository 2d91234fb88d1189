package mintstair.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import mintstair.config.OperatorConfig;
import mintstair.program.Program;
import mintstair.store.Store;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests a proxy's use of a store with one member. */
class StoreServiceTest {
    private static String hosts(String uid) {
        return "{\"rev\":1,\"all\":true,\"targets\":[{\"uid\":\"" + uid
                + "\",\"addr\":\"127.0.0.1:5432\",\"endpoint\":\"127.0.0.1:5432\",\"az\":\"here\",\"model\":\"toy\",\"capacity_hint\":1.0,\"boot_ms\":0,\"pod_group\":1,\"state\":\"SERVING\"}]}";
    }

    /**
     * An executor cancels a periodic task when one run of it throws. Errors that the service did not catch, such as
     * that of a class that cannot be loaded, silently stopped the reading of hosts.
     */
    @Test
    void hostsAreStillReadAfterTheListenerHasThrownAnError(@TempDir Path folder) throws Exception {
        InetSocketAddress address;
        try (ServerSocket unused = new ServerSocket(0)) {
            address = new InetSocketAddress("127.0.0.1", unused.getLocalPort());
        }
        Map<String, InetSocketAddress> members = Map.of("n1", address);
        List<String> received = new CopyOnWriteArrayList<>();
        AtomicInteger calls = new AtomicInteger();
        try (StoreService service = new StoreService(
                        new OperatorConfig.StoreConfig("n1", members, folder), "n1", false, () -> "state");
                Store client = Store.createClient(members)) {
            service.start(list -> {
                if (calls.incrementAndGet() == 1) {
                    throw new NoClassDefFoundError("of a test");
                }
                received.add(list.entries().get(0).host());
            });
            client.put("config/mongodb/hosts", hosts("a"));
            Program.await(() -> calls.get() == 1, "the first list");
            client.put("config/mongodb/hosts", hosts("b"));
            Program.await(() -> !received.isEmpty(), "the second list");
        }
        assertEquals(List.of("b"), received);
    }
}
