package mintstair.front;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import mintstair.proxy.Dispatcher;
import mintstair.proxy.EventLoop;
import mintstair.stats.Counters;
import mintstair.wire.MessageFilter;
import mintstair.wire.Recorder;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.nio.transport.TCPNIOBindingHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOServerConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;

/**
 * The listener of one protocol and the client connections that it has accepted. It bounds their number: above a share
 * of the limit idle clients are evicted, and above the limit a new client is rejected unless an idle one can be evicted
 * in its place.
 *
 * <p>Runs on the event loop, except for the methods that are documented otherwise.
 */
public abstract class Front {
    /** A client that has been idle for less time is expected to send another request and is not evicted. */
    private static final long MIN_IDLE_MICROS = 250_000;
    /** The same bound once the limit on clients is exceeded. */
    private static final long MIN_IDLE_WHEN_FULL_MICROS = 20_000;
    /** Above this share of the limit, and above the number below, each new client causes an idle one to be evicted. */
    private static final double EVICTION_THRESHOLD = 0.4;

    private static final int MIN_CLIENTS_BEFORE_EVICTION = 8;
    private static final long TIMEOUT_CHECK_INTERVAL_MICROS = 100_000;
    private static final int BACKLOG = 1024;

    protected final EventLoop loop;
    protected final Dispatcher dispatcher;
    protected final Counters counters;
    final TCPNIOTransport transport;
    /** Bytes of all clients that have been read from the network and not yet processed by the event loop. */
    final AtomicLong unprocessedBytes = new AtomicLong();

    final ClientMemoryBudget memoryBudget;

    private final RequestRules rules;
    private final AtomicInteger openConnections = new AtomicInteger();
    private final Set<ClientSession> sessions = new LinkedHashSet<>();
    private volatile int maxClients;
    private TCPNIOServerConnection listener;
    private Recorder recorder;

    protected Front(
            EventLoop loop,
            Dispatcher dispatcher,
            TCPNIOTransport transport,
            Counters counters,
            ClientMemoryBudget memoryBudget,
            int maxClients) {
        this.loop = loop;
        this.dispatcher = dispatcher;
        this.transport = transport;
        this.counters = counters;
        this.memoryBudget = memoryBudget;
        this.maxClients = maxClients;
        rules = new RequestRules(dispatcher);
        loop.every(TIMEOUT_CHECK_INTERVAL_MICROS, this::checkTimeouts);
    }

    /** Creates the session of an accepted connection; on the network thread. */
    protected abstract ClientSession createSession(Connection<?> connection);

    /** Sets the limit on connected clients, which applies to new connections; on any thread. */
    public void setMaxClients(int clients) {
        maxClients = clients;
    }

    /** Records the connections that are accepted from now on into a capture; null records none. */
    public void record(Recorder newRecorder) {
        recorder = newRecorder;
    }

    /**
     * Binds the address and listens on it; may be called once, on any thread.
     *
     * @param address the address to bind; port 0 selects any free port
     * @return the port that was bound
     * @throws IOException if the address cannot be bound
     */
    public int listen(InetSocketAddress address) throws IOException {
        MessageFilter filter = new MessageFilter(this::accept);
        listener = TCPNIOBindingHandler.builder(transport)
                .processor(FilterChainBuilder.stateless()
                        .add(new TransportFilter())
                        .add(filter)
                        .build())
                .build()
                .bind(address, BACKLOG);
        return ((InetSocketAddress) listener.getLocalAddress()).getPort();
    }

    /** Accepts a connection on the network thread; returns null if it was closed at once. */
    private ClientSession accept(Connection<?> connection) {
        // Above the limit the event loop rejects a client with a message; above the slack it is closed without one.
        if (openConnections.incrementAndGet() > maxClients + slack(maxClients)) {
            openConnections.decrementAndGet();
            counters.clientConnectionsDropped.incrementAndGet();
            connection.terminateSilently();
            return null;
        }
        ClientSession session = createSession(connection);
        loop.execute(() -> add(session));
        return session;
    }

    private void add(ClientSession session) {
        counters.clientConnectionsOpened++;
        sessions.add(session);
        session.startRecording(recorder);
        int remaining = remainingClients();
        if (remaining > maxClients) {
            evictOrReject(session);
        } else if (remaining > Math.max(MIN_CLIENTS_BEFORE_EVICTION, maxClients * EVICTION_THRESHOLD)) {
            // Evicts before the limit is reached, as clients may limit the number of connections that they open.
            evictLeastValuable(session, MIN_IDLE_MICROS, false);
            evictIdlestActive();
        }
    }

    /** Counts the sessions that are not closing: a closing one frees its connection without a further eviction. */
    private int remainingClients() {
        int remaining = 0;
        for (ClientSession session : sessions) {
            remaining += session.isClosing() ? 0 : 1;
        }
        return remaining;
    }

    private boolean evictLeastValuable(ClientSession newest, long minIdleMicros, boolean evictActive) {
        ClientSession chosen = EvictionPolicy.leastValuable(sessions, newest, loop.now(), minIdleMicros, evictActive);
        if (chosen == null) {
            return false;
        }
        if (chosen.evictionClass() == EvictionClass.SILENT) {
            reject(chosen);
        } else {
            evict(chosen);
        }
        return true;
    }

    private void evictIdlestActive() {
        ClientSession idlest = EvictionPolicy.idlestActive(sessions, loop.now() - MIN_IDLE_MICROS);
        if (idlest != null) {
            evict(idlest);
        }
    }

    private void evict(ClientSession session) {
        counters.idleClientConnectionsEvicted++;
        session.drain(ClientCloseReason.IDLED_OUT);
    }

    private void reject(ClientSession session) {
        counters.clientConnectionsRejected++;
        session.reject();
    }

    /**
     * Evicts an idle client in favor of a new one, which is expected to send a request, or rejects a client if none has
     * been idle for long enough.
     */
    private void evictOrReject(ClientSession newest) {
        if (!evictLeastValuable(newest, MIN_IDLE_WHEN_FULL_MICROS, true)) {
            reject(EvictionPolicy.silentClientOr(sessions, newest));
        }
    }

    /** Whether the clients hold more connections than the limit allows; on any thread. */
    boolean isFull() {
        return openConnections.get() > maxClients;
    }

    /** Returns how many connections above {@code maxClients} may be open while clients are rejected with a message. */
    public static int slack(int maxClients) {
        return Math.max(8, maxClients / 8);
    }

    private void checkTimeouts() {
        long nowMicros = loop.now();
        List.copyOf(sessions).forEach(session -> session.checkTimeouts(nowMicros));
    }

    /** Records that a connection was closed; on any thread. */
    void connectionClosed() {
        openConnections.decrementAndGet();
    }

    /** Removes a session whose connection is closed. */
    void remove(ClientSession session) {
        sessions.remove(session);
    }

    /** Returns the counters since the start as one line of names and values. */
    public String counters() {
        return counters.toString();
    }

    /** Counts a message that violates the protocol, or a request that cannot be accepted. */
    public final void countMalformed() {
        counters.malformedMessages++;
    }

    /** Returns the rules that requests of every protocol must satisfy. */
    public final RequestRules rules() {
        return rules;
    }

    /**
     * Closes the listener; on any thread.
     *
     * @return a future that completes on the event loop once each connection that the kernel has accepted has a
     *     session or was rejected
     */
    public CompletableFuture<Void> stopListening() {
        return new ListenerShutdown(listener, loop, BACKLOG).start();
    }

    /** Closes each connection that has no request in flight at once, and the others after their response. */
    public void drain() {
        for (ClientSession session : List.copyOf(sessions)) {
            session.drain(ClientCloseReason.DRAINED);
        }
    }

    /** Ends the connections whose clients have sent an incomplete message, as a shutdown cannot wait for the rest. */
    public void endUnfinished() {
        List.copyOf(sessions).forEach(ClientSession::endUnfinished);
    }

    /** Returns the number of sessions. */
    public int clients() {
        return sessions.size();
    }

    /** Returns the number of open client connections, including those without a session yet; on any thread. */
    public int connections() {
        return openConnections.get();
    }
}
