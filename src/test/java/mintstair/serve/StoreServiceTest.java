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

/** A proxy's use of the store, with one member. */
class StoreServiceTest {
    private static String hosts(String uid) {
        return "{\"rev\":1,\"all\":true,\"targets\":[{\"uid\":\"" + uid
                + "\",\"addr\":\"127.0.0.1:5432\",\"endpoint\":\"127.0.0.1:5432\",\"az\":\"here\",\"model\":\"toy\",\"capacity_hint\":1.0,\"boot_ms\":0,\"pod_group\":1,\"state\":\"SERVING\"}]}";
    }

    /**
     * An executor drops a periodic task for good when one run of it throws. The service caught exceptions and one kind
     * of error; any other error, as from a class that can't be loaded, ended the reading of hosts without a line in
     * the log.
     */
    @Test
    void hostsAreReadOnAfterAnErrorOfWhoeverTakesThem(@TempDir Path folder) throws Exception {
        InetSocketAddress address;
        try (ServerSocket free = new ServerSocket(0)) {
            address = new InetSocketAddress("127.0.0.1", free.getLocalPort());
        }
        Map<String, InetSocketAddress> members = Map.of("n1", address);
        List<String> taken = new CopyOnWriteArrayList<>();
        AtomicInteger calls = new AtomicInteger();
        try (StoreService service = new StoreService(
                        new OperatorConfig.StoreConfig("n1", members, folder),
                        "n1",
                        list -> {
                            if (calls.incrementAndGet() == 1) {
                                throw new NoClassDefFoundError("of a test");
                            }
                            taken.add(list.entries().get(0).host());
                        },
                        () -> "state");
                Store outside = Store.outside(members)) {
            outside.put("config/mongodb/hosts", hosts("a"));
            Program.await(() -> calls.get() == 1, "the first list");
            outside.put("config/mongodb/hosts", hosts("b"));
            Program.await(() -> !taken.isEmpty(), "the second list");
        }
        assertEquals(List.of("b"), taken);
    }
}
