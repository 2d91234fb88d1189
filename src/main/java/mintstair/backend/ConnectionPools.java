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
 * The connection pools of all hosts of one protocol, with a common limit on open connections. Runs on the event loop;
 * times are on its clock.
 */
public final class ConnectionPools implements Backend {
    /** Connections are evicted at this share of the hosts' idle timeout: an attempt that meets the close is lost. */
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
    private int open;
    private long maxIdleMicros;
    private int minIdlePerHost;
    private boolean clientsAccepted;

    /**
     * Makes pools for no host yet.
     *
     * @param idleTimeoutMicros after which hosts close an idle connection
     * @param maxOpen how many connections may be open to all hosts
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
        loop.every(EVICTION_INTERVAL_MICROS, this::evictAndRefill);
    }

    /** Sets, from now on, how long a connection may take to be ready, and after how long hosts close an idle one. */
    public void setTimeouts(long connectTimeoutMicros, long idleTimeoutMicros) {
        connector.setConnectTimeoutMicros(connectTimeoutMicros);
        maxIdleMicros = (long) (idleTimeoutMicros * IDLE_LIMIT_SHARE);
    }

    /** Has connections that are made from now on recorded. */
    public void setRecorder(Recorder recorder) {
        connector.setRecorder(recorder);
    }

    /**
     * Notes that clients are accepted from now on, so that connections may be opened ahead of need to all hosts.
     * Before, that is so only where hosts are few: while the process starts it is too slow for the handshakes of many.
     */
    public void clientsAccepted() {
        clientsAccepted = true;
        pools.values().forEach(HostConnectionPool::delayPreconnect);
    }

    private void evictAndRefill() {
        // Hosts come and go under new names.
        pools.values().removeIf(pool -> pool.isDisposable(loop.now()));
        for (HostConnectionPool pool : pools.values()) {
            pool.evictIdle(idleLimitMicros());
            pool.serve();
        }
    }

    /** A connection that has been idle since before this time is not used any more. */
    long idleLimitMicros() {
        return loop.now() - Math.min(maxIdleMicros, idleReuse.maxIdleMicros());
    }

    /** How many idle connections each host is to have; none where idle connections are not reused for long. */
    int minIdlePerHost() {
        boolean permitted = clientsAccepted || minIdlePerHost == PreconnectPolicy.MAX_PER_HOST;
        return permitted && idleReuse.maxIdleMicros() >= EVICTION_INTERVAL_MICROS ? minIdlePerHost : 0;
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
            removeAllBut(listedHosts);
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

    private void removeAllBut(Set<String> listedHosts) {
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
        return start(host, new PendingAttempt(statement::encode, writeByMicros, timeoutAtMicros, false, listener));
    }

    @Override
    public void sendHealthCheck(String host, AttemptListener listener) {
        long timeoutAtMicros = loop.now() + connector.connectTimeoutMicros();
        start(
                host,
                new PendingAttempt(
                        timeoutMillis -> protocol.healthCheck(), timeoutAtMicros, timeoutAtMicros, true, listener));
    }

    private Attempt start(String host, PendingAttempt attempt) {
        HostConnectionPool pool = pools.get(host);
        if (pool == null) {
            attempt.end(HostReply.of(ConnectionEnd.NEVER_SENT));
        } else {
            pool.acquire(attempt);
        }
        return attempt;
    }

    /**
     * Counts one more open connection, where the limit permits.
     *
     * @param forAttempt whether an attempt waits for it, so that another host's idle connection may be evicted
     */
    boolean mayOpen(boolean forAttempt) {
        if (open >= maxOpen && forAttempt) {
            evictLongestIdle();
        }
        if (open >= maxOpen) {
            return false;
        }
        open++;
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

    /** Notes that one connection less is open. */
    void connectionClosed() {
        open--;
    }
}
