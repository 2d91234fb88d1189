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
 * The listener of one protocol and the client connections that it has accepted. It bounds their number: past a share of
 * the limit idle clients are evicted, and past the limit a client is rejected unless another can be evicted for it.
 *
 * <p>Runs on the event loop, but for the methods that say otherwise.
 */
public abstract class Front {
    /** How much all clients together may send ahead of their responses; the heap is small. */
    private static final int MAX_PIPELINED_BYTES = 8 * 1024 * 1024;
    /** A client that has been idle for less is expected to send a request. */
    private static final long MIN_IDLE_MICROS = 250_000;
    /** The same where the limit on clients is reached. */
    private static final long MIN_IDLE_WHEN_FULL_MICROS = 20_000;
    /** From this share of the limit on, and from this number on, an idle client is evicted for each that comes. */
    private static final double EVICTION_THRESHOLD = 0.4;

    private static final int MIN_CLIENTS_BEFORE_EVICTION = 8;
    private static final long TIMEOUT_CHECK_INTERVAL_MICROS = 100_000;
    private static final int BACKLOG = 1024;

    protected final EventLoop loop;
    protected final Dispatcher dispatcher;
    protected final Counters counters;
    final TCPNIOTransport transport;
    /** Bytes of all clients that were read and not processed yet. */
    final AtomicLong unprocessedBytes = new AtomicLong();

    private final RequestRules rules;
    private final AtomicInteger openConnections = new AtomicInteger();
    private final Set<ClientSession> sessions = new LinkedHashSet<>();
    private volatile int maxClients;
    private int pipelinedBytes;
    private TCPNIOServerConnection listener;
    private Recorder recorder;

    protected Front(
            EventLoop loop, Dispatcher dispatcher, TCPNIOTransport transport, Counters counters, int maxClients) {
        this.loop = loop;
        this.dispatcher = dispatcher;
        this.transport = transport;
        this.counters = counters;
        this.maxClients = maxClients;
        rules = new RequestRules(dispatcher);
        loop.every(TIMEOUT_CHECK_INTERVAL_MICROS, this::checkTimeouts);
    }

    /** Makes the session of a connection that was accepted; on the network thread. */
    protected abstract ClientSession session(Connection<?> connection);

    /** Sets how many clients may be connected from now on; on any thread. */
    public void setMaxClients(int clients) {
        maxClients = clients;
    }

    /** Has the connections that are accepted from now on written to a capture; null for none. */
    public void record(Recorder newRecorder) {
        recorder = newRecorder;
    }

    /**
     * Listens on the address; on any thread, once.
     *
     * @param address with port 0 for any free port
     * @return the port
     * @throws IOException where the address cannot be bound
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

    /** On the network thread; null for a connection that is closed at once. */
    private ClientSession accept(Connection<?> connection) {
        // Past the limit a client is rejected with a message, by the loop; past the slack there is no time for one.
        if (openConnections.incrementAndGet() > maxClients + slack(maxClients)) {
            openConnections.decrementAndGet();
            counters.clientConnectionsDropped.incrementAndGet();
            connection.terminateSilently();
            return null;
        }
        ClientSession session = session(connection);
        loop.execute(() -> add(session));
        return session;
    }

    private void add(ClientSession session) {
        counters.clientConnectionsOpened++;
        sessions.add(session);
        session.accepted(recorder);
        int staying = stayingClients();
        if (staying > maxClients) {
            makeRoom(session);
        } else if (staying > Math.max(MIN_CLIENTS_BEFORE_EVICTION, maxClients * EVICTION_THRESHOLD)) {
            // Early, as clients may have a limit of their own on the connections that they open.
            evictLeastValuable(session, MIN_IDLE_MICROS, false);
            evictIdlestActive();
        }
    }

    /** Clients that leave have made room already: counted again, they would have others evicted. */
    private int stayingClients() {
        int staying = 0;
        for (ClientSession session : sessions) {
            staying += session.isLeaving() ? 0 : 1;
        }
        return staying;
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

    /** A client that comes brings a request, while one that is evicted idle loses nothing. */
    private void makeRoom(ClientSession newest) {
        if (!evictLeastValuable(newest, MIN_IDLE_WHEN_FULL_MICROS, true)) {
            reject(EvictionPolicy.silentOr(sessions, newest));
        }
    }

    /** Whether clients hold all connections that they may have; on any thread. */
    boolean isFull() {
        return openConnections.get() > maxClients;
    }

    /** How many connections beyond {@code maxClients} may be open while their clients are rejected with a message. */
    public static int slack(int maxClients) {
        return Math.max(8, maxClients / 8);
    }

    private void checkTimeouts() {
        long nowMicros = loop.now();
        List.copyOf(sessions).forEach(session -> session.checkTimeouts(nowMicros));
    }

    /** Notes that a connection was closed; on any thread. */
    void connectionClosed() {
        openConnections.decrementAndGet();
    }

    /** Removes a session whose connection is closed. */
    void remove(ClientSession session) {
        sessions.remove(session);
    }

    /** The counters since the start, on one line of names and values. */
    public String counters() {
        return counters.toString();
    }

    /** Counts a message that breaks the protocol, or a request that cannot be accepted. */
    public final void countMalformed() {
        counters.malformedMessages++;
    }

    /** The rules for requests of any protocol. */
    public final RequestRules rules() {
        return rules;
    }

    /** Notes how many bytes more, or less, clients have sent ahead of their responses; false past the limit. */
    boolean accountPipelined(int changeBytes) {
        pipelinedBytes += changeBytes;
        return pipelinedBytes <= MAX_PIPELINED_BYTES;
    }

    /**
     * Closes the listener; on any thread.
     *
     * @return complete, on the event loop, when each connection that the kernel has accepted is a session or was
     *     rejected
     */
    public CompletableFuture<Void> stopListening() {
        return new ListenerShutdown(listener, loop, BACKLOG).start();
    }

    /** Closes the connection of each client that has no request in flight; the others close after their response. */
    public void drain() {
        for (ClientSession session : List.copyOf(sessions)) {
            session.drain(ClientCloseReason.DRAINED);
        }
    }

    /** Ends the connections of clients that are in the middle of a message, as there is no time for the rest of it. */
    public void endUnfinished() {
        List.copyOf(sessions).forEach(ClientSession::endUnfinished);
    }

    /** How many sessions there are. */
    public int clients() {
        return sessions.size();
    }

    /** How many client connections are open, with those that are no session yet; on any thread. */
    public int connections() {
        return openConnections.get();
    }
}
