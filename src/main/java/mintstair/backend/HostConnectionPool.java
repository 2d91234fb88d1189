package mintstair.backend;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import mintstair.proxy.EventLoop;
import mintstair.request.AttemptVerdict;
import mintstair.request.ConnectionEnd;
import mintstair.request.EndpointList;
import mintstair.request.HostReply;
import mintstair.retry.Backoff;
import mintstair.stats.Counters;

/**
 * The connection pool of one host, and the queue of attempts that wait for a connection. Idle connections are reused
 * last in, first out, so that surplus connections reach the idle limit and are evicted. All methods run on the event
 * loop.
 */
final class HostConnectionPool {
    /** The limit on connections to one host; a host processes far fewer requests concurrently. */
    private static final int MAX_CONNECTIONS = 80;
    /**
     * The maximum of the random delay before connections are preconnected to a host. It spreads the handshakes of many
     * proxies that learn of a new host at the same time.
     */
    private static final long PRECONNECT_DELAY_MICROS = 1_000_000;

    private static final long MAX_PRECONNECT_BACKOFF_MICROS = 8_000_000;
    /** How long the pool of a removed host is kept; if removals are advisory, attempts may still be sent to it. */
    private static final long REMOVED_RETENTION_MICROS = 60_000_000;

    private static final long STREAM_CHECK_INTERVAL_MICROS = 1_000_000;

    private final ConnectionPools pools;
    private final HostConnector connector;
    private final IdleReusePolicy idleReuse;
    private final EventLoop loop;
    private final Counters counters;
    private final Random random;
    private final Backoff preconnectBackoff;
    /** The idle connections; the one that became idle last is the first. */
    private final ArrayDeque<HostConnection> idle = new ArrayDeque<>();

    private final Set<HostConnection> connections = new HashSet<>();
    private final ArrayDeque<PendingAttempt> waiting = new ArrayDeque<>();
    private int connecting;
    private InetSocketAddress address;
    private boolean serving;
    private long removedAtMicros;
    private long preconnectFromMicros;

    HostConnectionPool(
            ConnectionPools pools,
            HostConnector connector,
            IdleReusePolicy idleReuse,
            Counters counters,
            Random random) {
        this.pools = pools;
        this.connector = connector;
        this.idleReuse = idleReuse;
        this.counters = counters;
        this.random = random;
        loop = connector.loop();
        preconnectBackoff = new Backoff(random, PRECONNECT_DELAY_MICROS, MAX_PRECONNECT_BACKOFF_MICROS);
        delayPreconnect();
    }

    /** Delays preconnected connections by a random time of up to one second. */
    void delayPreconnect() {
        preconnectFromMicros = loop.now() + (long) (random.nextDouble() * PRECONNECT_DELAY_MICROS);
    }

    /** Applies the entry of this host in the endpoint list. */
    void update(EndpointList.Entry entry) {
        if (entry.state() == EndpointList.State.REMOVED) {
            markRemoved();
            return;
        }
        InetSocketAddress listed = parseAddress(entry.endpoint());
        serving = entry.state() == EndpointList.State.SERVING;
        removedAtMicros = loop.now();
        if (!listed.equals(address) || !serving) {
            evictAllIdle();
        }
        address = listed;
        dispatchWaiting();
    }

    private static InetSocketAddress parseAddress(String endpoint) {
        int colon = endpoint.lastIndexOf(':');
        return new InetSocketAddress(endpoint.substring(0, colon), Integer.parseInt(endpoint.substring(colon + 1)));
    }

    /** Records that the host is no longer listed, and closes its idle connections. */
    void markRemoved() {
        if (serving) {
            removedAtMicros = loop.now();
        }
        serving = false;
        evictAllIdle();
    }

    /** Returns whether the host is listed as serving. */
    boolean isServing() {
        return serving;
    }

    /** Returns whether the host was removed longer ago than the retention time, and the pool is empty. */
    boolean isDisposable(long nowMicros) {
        boolean empty = connections.isEmpty() && waiting.isEmpty();
        return !serving && empty && nowMicros - removedAtMicros > REMOVED_RETENTION_MICROS;
    }

    /** Queues an attempt until a connection is available. */
    void acquire(PendingAttempt attempt) {
        long nowMicros = loop.now();
        attempt.setPool(this);
        long latestBeginMicros = Math.min(attempt.writeByMicros(), attempt.timeoutAtMicros());
        long connectByMicros = Math.min(latestBeginMicros, nowMicros + connector.connectTimeoutMicros());
        attempt.setTimer(loop.at(connectByMicros, () -> checkTimeout(attempt)));
        evictIdle(pools.idleLimitMicros());
        waiting.add(attempt);
        dispatchWaiting();
    }

    /** Removes an attempt from the queue, if it is still waiting. */
    void cancelAcquire(PendingAttempt attempt) {
        waiting.remove(attempt);
    }

    private void checkTimeout(PendingAttempt attempt) {
        long nowMicros = loop.now();
        if (attempt.connection() == null) {
            boolean tooLateToWrite = nowMicros >= attempt.writeByMicros() && nowMicros < attempt.timeoutAtMicros();
            boolean connectTimedOut = connecting > 0 && !tooLateToWrite;
            attempt.abort(connectTimedOut ? ConnectionEnd.CONNECT_TIMEOUT : ConnectionEnd.NEVER_SENT);
        } else if (attempt.isStreaming() && attempt.connection().isStreaming(nowMicros)) {
            attempt.setTimer(loop.at(nowMicros + STREAM_CHECK_INTERVAL_MICROS, () -> checkTimeout(attempt)));
        } else if (nowMicros < attempt.timeoutAtMicros()) {
            attempt.setTimer(loop.at(attempt.timeoutAtMicros(), () -> checkTimeout(attempt)));
        } else {
            attempt.abort(ConnectionEnd.TIMED_OUT);
        }
    }

    /** See {@link mintstair.proxy.Backend#failQueuedForUnavailableHosts}. */
    void failQueuedIfUnavailable() {
        if (!serving) {
            // A copy, as the listener of a failed attempt may deliberately send another one to this host.
            List.copyOf(waiting).forEach(attempt -> attempt.abort(ConnectionEnd.NEVER_SENT));
        }
    }

    /** Assigns idle connections to waiting attempts, and opens the connections that are missing. */
    void dispatchWaiting() {
        while (!waiting.isEmpty() && !idle.isEmpty()) {
            HostConnection connection = idle.pollFirst();
            if (connection.isClean()) {
                assign(connection);
            } else {
                discard(connection);
            }
        }
        openMissing();
    }

    private void assign(HostConnection connection) {
        PendingAttempt next = waiting.pollFirst();
        long nowMicros = loop.now();
        AttemptVerdict verdict = next.mayBegin(nowMicros);
        if (verdict == AttemptVerdict.MAY_BEGIN) {
            connection.send(next, nowMicros);
            return;
        }
        counters.attemptHeldBack(verdict);
        next.abort(ConnectionEnd.NEVER_SENT);
        idle.addFirst(connection);
    }

    /**
     * Opens a connection for each waiting attempt and each missing preconnected connection. Only waiting attempts may
     * evict other hosts' idle connections; preconnected connections would evict each other.
     */
    private void openMissing() {
        int wanted = waiting.size() + missingPreconnects();
        while (connecting < wanted
                && connections.size() < MAX_CONNECTIONS
                && pools.tryReserveConnection(connecting < waiting.size())) {
            counters.hostConnectionsPreconnected += connecting < waiting.size() ? 0 : 1;
            connecting++;
            HostConnection connection = new HostConnection(this, connector, idleReuse, address);
            connections.add(connection);
            connection.open();
        }
    }

    private int missingPreconnects() {
        if (!serving || loop.now() < preconnectFromMicros) {
            return 0;
        }
        return Math.max(0, pools.minIdlePerHost() - idle.size());
    }

    /** Adds a connection that has become ready for its first attempt. */
    void opened(HostConnection connection) {
        connecting--;
        preconnectBackoff.reset();
        release(connection);
    }

    /** Returns an idle connection to the pool, or closes it if the host was removed or has a new address. */
    void release(HostConnection connection) {
        if (connection.isConnectedTo(address) && (serving || !waiting.isEmpty())) {
            idle.addFirst(connection);
        } else {
            discard(connection);
        }
        dispatchWaiting();
    }

    /** Removes a connection that failed to open, and ends one waiting attempt, as one connection is opened for each. */
    void openFailed(HostConnection connection, ConnectionEnd end) {
        connecting--;
        counters.hostConnectionsFailed++;
        preconnectFromMicros = loop.now() + preconnectBackoff.nextDelayMicros();
        closed(connection);
        PendingAttempt first = waiting.pollFirst();
        if (first != null) {
            first.end(HostReply.of(end));
        }
    }

    /** Removes a closed connection, which makes room for another. */
    void closed(HostConnection connection) {
        idle.remove(connection);
        if (connections.remove(connection)) {
            pools.connectionClosed();
            dispatchWaiting();
        }
    }

    /** Closes the connections that became idle before this time. */
    void evictIdle(long idleSinceBeforeMicros) {
        while (!idle.isEmpty() && idle.peekLast().idleSinceMicros() < idleSinceBeforeMicros) {
            discard(idle.pollLast());
        }
    }

    private void evictAllIdle() {
        evictIdle(Long.MAX_VALUE);
    }

    /** Returns when the longest idle connection became idle, or {@link Long#MAX_VALUE} if no connection is idle. */
    long longestIdleSinceMicros() {
        return idle.isEmpty() ? Long.MAX_VALUE : idle.peekLast().idleSinceMicros();
    }

    /** Closes the longest idle connection. At least one connection must be idle. */
    void evictLongestIdle() {
        discard(idle.pollLast());
    }

    private void discard(HostConnection connection) {
        connection.close();
        if (connections.remove(connection)) {
            pools.connectionClosed();
        }
    }
}
