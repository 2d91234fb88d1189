package mintstair.serve;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
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
 * {@code config/mongodb/hosts}, and writes the proxy's state to a key under {@code state/} while it is a member. No
 * request waits for the store: it is read on one thread, "store-read", and written on another, "store-write".
 *
 * <p>The list is read from the group until this process's own member has caught up with what was read, as its data may
 * be older than the list that an earlier run, or a predecessor that still serves, acted on.
 */
final class StoreService implements AutoCloseable {
    private static final String HOSTS_KEY = "config/mongodb/hosts";
    private static final String STATE_PREFIX = "state/";
    private static final String HOSTS_FILE = "mongodb-hosts.json";
    /** Two processes of an upgrade learn of a change within this; a draining host's grace is a multiple of it. */
    private static final Duration READ_INTERVAL = Duration.ofMillis(250);

    private static final Duration TAKE_OVER_INTERVAL = Duration.ofMillis(250);
    private static final Duration WRITE_INTERVAL = Duration.ofSeconds(30);
    /** How long a start waits for a majority of the store: a small part of the time that it has to become ready. */
    private static final Duration MAX_FIRST_READ = Duration.ofSeconds(1);

    private final StoreAccess access;
    private final ScheduledExecutorService readExecutor = newExecutor("store-read");
    private final ScheduledExecutorService writeExecutor = newExecutor("store-write");
    private final HostListFile file;
    private final String stateKey;
    private final Supplier<String> state;
    private final CompletableFuture<String> firstRead;
    /** The log index from which on the own member's list counts; confined to the read thread. */
    private long agreedIndex = Long.MAX_VALUE;
    /** Whether it was logged that the member has stopped; confined to the read thread. */
    private boolean hasMemberStopped;
    /** The list that was applied last, as text; written before the first task that reads it periodically. */
    private String lastHosts = "";
    /** Why the member could not be taken over at the last attempt; confined to the write thread. */
    private String lastFailure = "";

    /**
     * Starts this proxy's member of the store or, beside a predecessor, a client, and begins to read the list.
     *
     * @param name the name of the proxy, which is the last part of its state's key
     * @param hasPredecessor whether another process with the same configuration serves clients
     * @param state supplies the state to write; may block
     * @throws IOException if the member cannot be started; the message is one line
     */
    StoreService(OperatorConfig.StoreConfig config, String name, boolean hasPredecessor, Supplier<String> state)
            throws IOException {
        this.state = state;
        stateKey = STATE_PREFIX + name;
        access = StoreAccess.open(config, hasPredecessor);
        file = new HostListFile(config.folder().resolve(HOSTS_FILE));
        firstRead = CompletableFuture.supplyAsync(this::readFirst, readExecutor);
    }

    private static ScheduledExecutorService newExecutor(String name) {
        return Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, name);
            thread.setDaemon(true);
            return thread;
        });
    }

    private String readFirst() {
        try {
            return agreedHosts();
        } catch (IOException e) {
            throw new CompletionException(e);
        }
    }

    /**
     * Returns the list that a majority of the store has or, if none answers soon or the list is invalid, the one that
     * was used last here. Blocks for {@link #MAX_FIRST_READ} at most. Must be called before {@link #start}.
     *
     * @return the list; null if a majority has none, or none is known
     */
    EndpointList awaitHosts() {
        try {
            String hosts = firstRead.get(MAX_FIRST_READ.toMillis(), TimeUnit.MILLISECONDS);
            EndpointList list = hosts == null ? null : changedHosts(hosts);
            return hosts == null || list != null ? list : lastKnownHosts();
        } catch (TimeoutException | ExecutionException e) {
            return hostsWithoutMajority();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return lastKnownHosts();
        }
    }

    private EndpointList hostsWithoutMajority() {
        EndpointList list = lastKnownHosts();
        System.err.println("store: no majority has answered; starting with "
                + (list == null ? "the operator's list of hosts" : "the last list of hosts that is known here"));
        return list;
    }

    /** Returns the list that was used last here or, if there is none, the one in the member's data; null if neither. */
    private EndpointList lastKnownHosts() {
        String saved = file.read();
        EndpointList list = saved == null ? null : changedHosts(saved);
        Store store = access.store();
        if (list != null || !store.isMember()) {
            return list;
        }
        String local = store.getLocal(HOSTS_KEY);
        return local == null ? null : changedHosts(local);
    }

    /**
     * Starts to read the list and to write the state periodically and, beside a predecessor, to take its member over.
     *
     * @param hostsListener is called on the read thread with each changed list
     */
    void start(Consumer<EndpointList> hostsListener) {
        schedule(readExecutor, () -> readHosts(hostsListener), READ_INTERVAL);
        writeExecutor.execute(this::takeOver);
    }

    private static void schedule(ScheduledExecutorService executor, Runnable task, Duration interval) {
        executor.scheduleWithFixedDelay(new GuardedTask("store", task), 0, interval.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void readHosts(Consumer<EndpointList> hostsListener) {
        String hosts;
        try {
            hosts = agreedHosts();
        } catch (IOException e) {
            // There is no majority, or the store was replaced meanwhile: the list stays until the next read.
            return;
        }
        if (hosts == null || hosts.equals(lastHosts)) {
            return;
        }
        EndpointList changed = changedHosts(hosts);
        if (changed != null) {
            hostsListener.accept(changed);
        }
    }

    private String agreedHosts() throws IOException {
        Store store = access.store();
        if (store.isMember() && store.hasApplied(agreedIndex)) {
            return store.getLocal(HOSTS_KEY);
        }
        logIfMemberStopped(store);
        Store.Reading reading = store.read(HOSTS_KEY);
        agreedIndex = reading.commitIndex();
        return reading.value();
    }

    /** Logs once that the member has failed for good; the list is read from the others until the process is restarted. */
    private void logIfMemberStopped(Store store) {
        if (!hasMemberStopped && store.isMember() && !store.isRunning() && store == access.store()) {
            hasMemberStopped = true;
            System.err.println("store: this member has stopped; reading the list of hosts from the others");
        }
    }

    /** Records a changed list and returns it. One that is invalid is ignored, and logged once; null is returned. */
    private EndpointList changedHosts(String hosts) {
        lastHosts = hosts;
        try {
            EndpointList list = EndpointListReader.read(Json.read(hosts.getBytes(StandardCharsets.UTF_8)));
            file.write(hosts);
            return list;
        } catch (IOException | IllegalArgumentException e) {
            System.err.println("store: " + HOSTS_KEY + ": " + FirstLine.of(e));
            return null;
        }
    }

    /** Takes over the predecessor's member if it has released it. Once this process is the member, writes the state. */
    private void takeOver() {
        new GuardedTask("store", this::tryTakeOver).run();
        if (access.isMember()) {
            schedule(writeExecutor, this::writeState, WRITE_INTERVAL);
        } else if (!writeExecutor.isShutdown()) {
            writeExecutor.schedule(this::takeOver, TAKE_OVER_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
        }
    }

    private void tryTakeOver() {
        try {
            access.takeOver();
        } catch (IOException | RuntimeException e) {
            String reason = StoreAccess.reason(e);
            if (!reason.equals(lastFailure)) {
                System.err.println("store: could not take over the member: " + reason + "; trying again");
            }
            lastFailure = reason;
        }
    }

    /** Writes the state while this process is the member. */
    private void writeState() {
        if (!access.isMember()) {
            return;
        }
        String currentState = state.get();
        try {
            access.store().put(stateKey, currentState);
        } catch (IOException e) {
            System.err.println("store: could not write " + stateKey + " to a majority of members: " + FirstLine.of(e));
        }
    }

    /**
     * Releases the member, so that a successor can take it over. The list of hosts is read on as a client of the group.
     */
    void releaseMember() throws IOException {
        access.release();
    }

    @Override
    public void close() throws IOException {
        readExecutor.shutdownNow();
        writeExecutor.shutdownNow();
        access.close();
    }
}
