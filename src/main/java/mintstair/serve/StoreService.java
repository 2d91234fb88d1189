package mintstair.serve;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import mintstair.config.EndpointListReader;
import mintstair.config.FirstLine;
import mintstair.config.Json;
import mintstair.config.OperatorConfig;
import mintstair.log.GuardedTask;
import mintstair.request.EndpointList;
import mintstair.store.Store;

/**
 * This proxy's use of the replicated store: it reads the MongoDB hosts that all proxies serve, under {@code
 * config/mongodb/hosts}, and writes its own state under {@code state/}. All of it happens on one thread, "store"; no
 * request ever waits for the store.
 */
final class StoreService implements AutoCloseable {
    private static final String HOSTS_KEY = "config/mongodb/hosts";
    private static final String STATE_PREFIX = "state/";
    private static final Duration READ_INTERVAL = Duration.ofSeconds(1);
    private static final Duration REPORT_INTERVAL = Duration.ofSeconds(30);

    private final Store store;
    private final ScheduledExecutorService executor = Executors.newScheduledThreadPool(1, StoreService::newThread);
    private final Consumer<EndpointList> hostsListener;
    private final String stateKey;
    private final Supplier<String> state;
    /** The entry as last read; confined to the store's thread. */
    private String lastHosts = "";

    /**
     * Starts this proxy's member of the store.
     *
     * @param name the proxy's name, under which its state is kept
     * @param hostsListener takes each new list, on the store's thread
     * @param state gives the state to keep; may block
     */
    StoreService(
            OperatorConfig.StoreConfig config,
            String name,
            Consumer<EndpointList> hostsListener,
            Supplier<String> state)
            throws IOException {
        this.hostsListener = hostsListener;
        this.state = state;
        stateKey = STATE_PREFIX + name;
        store = Store.startMember(config.member(), config.members(), config.folder());
        schedule(this::readHosts, READ_INTERVAL);
        schedule(this::reportState, REPORT_INTERVAL);
    }

    private static Thread newThread(Runnable task) {
        Thread thread = new Thread(task, "store");
        thread.setDaemon(true);
        return thread;
    }

    private void schedule(Runnable task, Duration interval) {
        executor.scheduleWithFixedDelay(new GuardedTask("store", task), 0, interval.toSeconds(), TimeUnit.SECONDS);
    }

    /** A list that cannot be read changes nothing, and is reported once. */
    private void readHosts() {
        String hosts = store.getLocal(HOSTS_KEY);
        if (hosts == null || hosts.equals(lastHosts)) {
            return;
        }
        lastHosts = hosts;
        try {
            hostsListener.accept(EndpointListReader.read(Json.read(hosts.getBytes(StandardCharsets.UTF_8))));
        } catch (IOException | IllegalArgumentException e) {
            System.err.println("store: " + HOSTS_KEY + ": " + FirstLine.of(e));
        }
    }

    private void reportState() {
        String reported = state.get();
        try {
            store.put(stateKey, reported);
        } catch (IOException e) {
            System.err.println("store: no majority: " + FirstLine.of(e));
        }
    }

    @Override
    public void close() throws IOException {
        executor.shutdownNow();
        store.close();
    }
}
