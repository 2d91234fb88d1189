package mintstair.backend;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import mintstair.proxy.Backend;
import mintstair.proxy.EventLoop;
import mintstair.request.ConnectionEnd;
import mintstair.request.EndpointList;
import mintstair.request.HostReply;
import mintstair.request.Statement;
import mintstair.stats.Counters;
import mintstair.wire.Recorder;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;

/**
 * The connection pools of all hosts that speak one protocol, with a common limit on open connections. All methods run
 * on the event loop, and all times are on its clock.
 */
public final class ConnectionPools implements Backend {
    /**
     * The share of the hosts' idle timeout after which idle connections are evicted. The margin keeps an attempt from
     * being lost on a connection that its host is about to close.
     */
    private static final double IDLE_LIMIT_SHARE = 0.8;

    private static final long EVICTION_INTERVAL_MICROS = 1_000_000;

    private final EventLoop loop;
    private final Protocol protocol;
    private final HostConnector connector;
    private final IdleReusePolicy idleReuse = new IdleReusePolicy();
    private final Random random;
    private final Counters counters;
    private final int maxOpen;
    private final Map<String, HostConnectionPool> pools = new HashMap<>();
    private int openConnections;
    private long maxIdleMicros;
    private int minIdlePerHost;
    private boolean clientsAccepted;

    /**
     * Creates the pools without any host; hosts are added by {@link #endpointsUpdated}.
     *
     * @param connectTimeoutMicros the time in which a new connection must become ready for its first attempt
     * @param idleTimeoutMicros the time after which hosts close an idle connection
     * @param maxOpen the maximum number of open connections to all hosts together
     */
    public ConnectionPools(
            EventLoop loop,
            Protocol protocol,
            TCPNIOTransport transport,
            long connectTimeoutMicros,
            long idleTimeoutMicros,
            int maxOpen,
            Random random,
            Counters counters) {
        this.loop = loop;
        this.protocol = protocol;
        this.maxOpen = maxOpen;
        this.random = random;
        this.counters = counters;
        connector = new HostConnector(loop, protocol, transport, counters);
        setTimeouts(connectTimeoutMicros, idleTimeoutMicros);
        loop.every(EVICTION_INTERVAL_MICROS, this::evictAndDispatch);
    }

    /**
     * Sets the time in which a new connection must become ready, and the time after which hosts close an idle
     * connection. Both apply from now on.
     */
    public void setTimeouts(long connectTimeoutMicros, long idleTimeoutMicros) {
        connector.setConnectTimeoutMicros(connectTimeoutMicros);
        maxIdleMicros = (long) (idleTimeoutMicros * IDLE_LIMIT_SHARE);
    }

    /** Sets the recorder of the connections that are opened from now on. */
    public void setRecorder(Recorder recorder) {
        connector.setRecorder(recorder);
    }

    /**
     * Records that clients are accepted from now on, which enables preconnected connections to any number of hosts.
     * Until then they are opened only to small numbers of hosts: a process that is still starting is too slow for the
     * handshakes with many.
     */
    public void clientsAccepted() {
        clientsAccepted = true;
        pools.values().forEach(HostConnectionPool::delayPreconnect);
    }

    private void evictAndDispatch() {
        // Replaced hosts are listed under new names, so pools of removed hosts would accumulate.
        pools.values().removeIf(pool -> pool.isDisposable(loop.now()));
        for (HostConnectionPool pool : pools.values()) {
            pool.evictIdle(idleLimitMicros());
            pool.dispatchWaiting();
        }
    }

    /** Returns the eviction cutoff: connections that became idle before this time are not reused. */
    long idleLimitMicros() {
        return loop.now() - Math.min(maxIdleMicros, idleReuse.maxIdleMicros());
    }

    /**
     * Returns the number of idle connections to keep open to each host. It is 0 if idle connections may be reused only
     * for a time shorter than the eviction interval.
     */
    int minIdlePerHost() {
        boolean isPreconnectEnabled = clientsAccepted || minIdlePerHost == PreconnectPolicy.MAX_PER_HOST;
        return isPreconnectEnabled && idleReuse.maxIdleMicros() >= EVICTION_INTERVAL_MICROS ? minIdlePerHost : 0;
    }

    @Override
    public void endpointsUpdated(EndpointList list) {
        Set<String> listedHosts = new HashSet<>();
        for (EndpointList.Entry entry : list.entries()) {
            listedHosts.add(entry.host());
            pools.computeIfAbsent(entry.host(), host -> newPool()).update(entry);
        }
        minIdlePerHost = PreconnectPolicy.perHost(servingHosts(), maxOpen);
        if (list.isSnapshot()) {
            markUnlistedRemoved(listedHosts);
        }
    }

    private HostConnectionPool newPool() {
        return new HostConnectionPool(this, connector, idleReuse, counters, random);
    }

    private int servingHosts() {
        int serving = 0;
        for (HostConnectionPool pool : pools.values()) {
            serving += pool.isServing() ? 1 : 0;
        }
        return serving;
    }

    private void markUnlistedRemoved(Set<String> listedHosts) {
        pools.forEach((host, pool) -> {
            if (!listedHosts.contains(host)) {
                pool.markRemoved();
            }
        });
    }

    @Override
    public void failQueuedForUnavailableHosts() {
        pools.values().forEach(HostConnectionPool::failQueuedIfUnavailable);
    }

    @Override
    public Attempt send(
            String host, Statement statement, long writeByMicros, long timeoutAtMicros, AttemptListener listener) {
        return enqueue(host, new PendingAttempt(statement::encode, writeByMicros, timeoutAtMicros, false, listener));
    }

    @Override
    public void sendHealthCheck(String host, AttemptListener listener) {
        long timeoutAtMicros = loop.now() + connector.connectTimeoutMicros();
        enqueue(
                host,
                new PendingAttempt(
                        timeoutMillis -> protocol.healthCheck(), timeoutAtMicros, timeoutAtMicros, true, listener));
    }

    private Attempt enqueue(String host, PendingAttempt attempt) {
        HostConnectionPool pool = pools.get(host);
        if (pool == null) {
            attempt.end(HostReply.of(ConnectionEnd.NEVER_SENT));
        } else {
            pool.acquire(attempt);
        }
        return attempt;
    }

    /**
     * Counts one more open connection if the limit on open connections permits it.
     *
     * @param forAttempt whether an attempt is waiting for the connection, in which case the longest idle connection of
     *     all hosts is evicted if the limit is reached
     * @return whether the caller may open the connection
     */
    boolean tryReserveConnection(boolean forAttempt) {
        if (openConnections >= maxOpen && forAttempt) {
            evictLongestIdle();
        }
        if (openConnections >= maxOpen) {
            return false;
        }
        openConnections++;
        counters.hostConnectionsOpened++;
        return true;
    }

    private void evictLongestIdle() {
        HostConnectionPool longestIdle = null;
        long idleSinceMicros = Long.MAX_VALUE;
        for (HostConnectionPool pool : pools.values()) {
            if (pool.longestIdleSinceMicros() < idleSinceMicros) {
                longestIdle = pool;
                idleSinceMicros = pool.longestIdleSinceMicros();
            }
        }
        if (longestIdle != null) {
            longestIdle.evictLongestIdle();
        }
    }

    /** Records that a connection counted by {@link #tryReserveConnection} was closed. */
    void connectionClosed() {
        openConnections--;
    }
}
