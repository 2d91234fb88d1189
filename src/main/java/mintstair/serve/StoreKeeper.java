package mintstair.serve;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import mintstair.config.Json;
import mintstair.config.ListReader;
import mintstair.config.OperatorConfig;
import mintstair.request.EndpointList;
import mintstair.store.Store;

/**
 * What the daemon keeps in the store: the MongoDB hosts that all daemons are to serve, under
 * {@code config/mongodb/hosts}, and each daemon's own state under {@code state/}. On a thread of its own: no
 * request ever waits for the store.
 */
final class StoreKeeper implements AutoCloseable {
    static final String HOSTS = "config/mongodb/hosts";
    private static final int LOOK_EVERY_SECONDS = 1;
    private static final int TELL_EVERY_SECONDS = 30;

    private final Store store;
    private final ScheduledExecutorService thread = Executors.newScheduledThreadPool(1, task -> {
        Thread made = new Thread(task, "store");
        made.setDaemon(true);
        return made;
    });
    private String last = "";

    /** {@code hosts} is told of each new list, {@code state} gives what to keep of this daemon. */
    StoreKeeper(OperatorConfig.Members members, String name, Consumer<EndpointList> hosts, Supplier<String> state)
            throws IOException {
        store = Store.startMember(members.member(), members.members(), members.folder());
        thread.scheduleWithFixedDelay(() -> guarded(() -> look(hosts)), 0, LOOK_EVERY_SECONDS, TimeUnit.SECONDS);
        thread.scheduleWithFixedDelay(
                () -> guarded(() -> tell(name, state.get())), 0, TELL_EVERY_SECONDS, TimeUnit.SECONDS);
    }

    /** What one run throws would silently be the end of all later ones. */
    private static void guarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | StackOverflowError e) {
            System.err.println("store: unexpected: " + e);
        }
    }

    /** A list that cannot be read changes nothing. */
    private void look(Consumer<EndpointList> hosts) {
        String now = store.getLocal(HOSTS);
        if (now == null || now.equals(last)) {
            return;
        }
        last = now;
        try {
            hosts.accept(ListReader.read(Json.read(now.getBytes(StandardCharsets.UTF_8))));
        } catch (IOException | IllegalArgumentException e) {
            System.err.println(
                    "store: " + HOSTS + ": " + String.valueOf(e.getMessage()).split("\n")[0]);
        }
    }

    private void tell(String name, String state) {
        try {
            store.put("state/" + name, state);
        } catch (IOException e) {
            System.err.println(
                    "store: no majority: " + String.valueOf(e.getMessage()).split("\n")[0]);
        }
    }

    @Override
    public void close() throws IOException {
        thread.shutdownNow();
        store.close();
    }
}
