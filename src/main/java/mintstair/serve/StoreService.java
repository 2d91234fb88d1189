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
 * Connects the proxy to the replicated store. Reads the list of MongoDB hosts, which all proxies share, from the key
 * {@code config/mongodb/hosts}, and writes the proxy's state to a key under {@code state/}. The store is accessed on
 * one thread, "store", so that no request waits for it.
 */
final class StoreService implements AutoCloseable {
    private static final String HOSTS_KEY = "config/mongodb/hosts";
    private static final String STATE_PREFIX = "state/";
    private static final Duration READ_INTERVAL = Duration.ofSeconds(1);
    private static final Duration WRITE_INTERVAL = Duration.ofSeconds(30);

    private final Store store;
    private final ScheduledExecutorService executor = Executors.newScheduledThreadPool(1, StoreService::newThread);
    private final Consumer<EndpointList> hostsListener;
    private final String stateKey;
    private final Supplier<String> state;
    /** The list of hosts that was read last, as text; confined to the store thread. */
    private String lastHosts = "";

    /**
     * Starts this proxy's member of the store.
     *
     * @param name the name of the proxy, which is the last part of its state's key
     * @param hostsListener is called on the store thread with each changed list
     * @param state supplies the state to write; may block
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
        schedule(this::writeState, WRITE_INTERVAL);
    }

    private static Thread newThread(Runnable task) {
        Thread thread = new Thread(task, "store");
        thread.setDaemon(true);
        return thread;
    }

    private void schedule(Runnable task, Duration interval) {
        executor.scheduleWithFixedDelay(new GuardedTask("store", task), 0, interval.toSeconds(), TimeUnit.SECONDS);
    }

    /** Reads the list of hosts and reports it if it has changed. An invalid list is ignored, and logged once. */
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

    private void writeState() {
        String currentState = state.get();
        try {
            store.put(stateKey, currentState);
        } catch (IOException e) {
            System.err.println("store: could not write " + stateKey + " to a majority of members: " + FirstLine.of(e));
        }
    }

    @Override
    public void close() throws IOException {
        executor.shutdownNow();
        store.close();
    }
}
