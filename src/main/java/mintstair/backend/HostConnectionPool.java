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
 * last in, first out, so that those that are not needed reach their idle limit. Runs on the event loop.
 */
final class HostConnectionPool {
    /** A host works on far fewer requests at a time. */
    private static final int MAX_CONNECTIONS = 80;
    /** Connections ahead of need begin after a random part of this, as many proxies see a new host together. */
    private static final long PRECONNECT_DELAY_MICROS = 1_000_000;

    private static final long MAX_PRECONNECT_BACKOFF_MICROS = 8_000_000;
    /** How long a removed host is remembered: where removal is advisory, it may still be sent to. */
    private static final long REMOVED_RETENTION_MICROS = 60_000_000;

    private static final long STREAM_CHECK_INTERVAL_MICROS = 1_000_000;

    private final ConnectionPools pools;
    private final HostConnector connector;
    private final IdleReusePolicy idleReuse;
    private final EventLoop loop;
    private final Counters counters;
    private final Random random;
    private final Backoff preconnectBackoff;
    /** The one that became idle last is the first. */
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

    /** Delays connections ahead of need by a random part of a second. */
    void delayPreconnect() {
        preconnectFromMicros = loop.now() + (long) (random.nextDouble() * PRECONNECT_DELAY_MICROS);
    }

    /** Takes over what the endpoint list says of this host. */
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
        serve();
    }

    private static InetSocketAddress parseAddress(String endpoint) {
        int colon = endpoint.lastIndexOf(':');
        return new InetSocketAddress(endpoint.substring(0, colon), Integer.parseInt(endpoint.substring(colon + 1)));
    }

    /** Notes that the host is not listed any more. */
    void markRemoved() {
        if (serving) {
            removedAtMicros = loop.now();
        }
        serving = false;
        evictAllIdle();
    }

    /** Whether the host is listed as one that serves. */
    boolean isServing() {
        return serving;
    }

    /** Whether nothing is left of a host that was removed long ago. */
    boolean isDisposable(long nowMicros) {
        boolean empty = connections.isEmpty() && waiting.isEmpty();
        return !serving && empty && nowMicros - removedAtMicros > REMOVED_RETENTION_MICROS;
    }

    /** Queues an attempt for the next connection. */
    void acquire(PendingAttempt attempt) {
        long nowMicros = loop.now();
        attempt.queuedIn(this);
        long latestBeginMicros = Math.min(attempt.writeByMicros(), attempt.timeoutAtMicros());
        long connectByMicros = Math.min(latestBeginMicros, nowMicros + connector.connectTimeoutMicros());
        attempt.setTimer(loop.at(connectByMicros, () -> checkTimeout(attempt)));
        evictIdle(pools.idleLimitMicros());
        waiting.add(attempt);
        serve();
    }

    /** Removes an attempt that ends while it waits. */
    void cancelAcquire(PendingAttempt attempt) {
        waiting.remove(attempt);
    }

    private void checkTimeout(PendingAttempt attempt) {
        long nowMicros = loop.now();
        if (attempt.connection() == null) {
            boolean tooLateToWrite = nowMicros >= attempt.writeByMicros() && nowMicros < attempt.timeoutAtMicros();
            boolean connectTimedOut = connecting > 0 && !tooLateToWrite;
            attempt.stop(connectTimedOut ? ConnectionEnd.CONNECT_TIMEOUT : ConnectionEnd.NEVER_SENT);
        } else if (attempt.isStreaming() && attempt.connection().isStreaming(nowMicros)) {
            attempt.setTimer(loop.at(nowMicros + STREAM_CHECK_INTERVAL_MICROS, () -> checkTimeout(attempt)));
        } else if (nowMicros < attempt.timeoutAtMicros()) {
            attempt.setTimer(loop.at(attempt.timeoutAtMicros(), () -> checkTimeout(attempt)));
        } else {
            attempt.stop(ConnectionEnd.TIMED_OUT);
        }
    }

    /** See {@link mintstair.proxy.Backend#failQueuedForUnavailableHosts}. */
    void failQueuedIfUnavailable() {
        if (!serving) {
            // A copy, as an attempt that fails may be followed by one that is sent here on purpose.
            List.copyOf(waiting).forEach(attempt -> attempt.stop(ConnectionEnd.NEVER_SENT));
        }
    }

    /** Gives waiting attempts their connections, and opens those that are missing. */
    void serve() {
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
        next.stop(ConnectionEnd.NEVER_SENT);
        idle.addFirst(connection);
    }

    /** For an attempt another host's idle connection may be evicted; ahead of need they would evict each other. */
    private void openMissing() {
        int wanted = waiting.size() + missingAheadOfNeed();
        while (connecting < wanted
                && connections.size() < MAX_CONNECTIONS
                && pools.mayOpen(connecting < waiting.size())) {
            counters.hostConnectionsPreconnected += connecting < waiting.size() ? 0 : 1;
            connecting++;
            HostConnection connection = new HostConnection(this, connector, idleReuse, address);
            connections.add(connection);
            connection.open();
        }
    }

    private int missingAheadOfNeed() {
        if (!serving || loop.now() < preconnectFromMicros) {
            return 0;
        }
        return Math.max(0, pools.minIdlePerHost() - idle.size());
    }

    /** Takes in a connection that is ready for its first attempt. */
    void opened(HostConnection connection) {
        connecting--;
        preconnectBackoff.reset();
        release(connection);
    }

    /** Takes a connection back that is idle; the next attempt gets it. */
    void release(HostConnection connection) {
        if (connection.leadsTo(address) && (serving || !waiting.isEmpty())) {
            idle.addFirst(connection);
        } else {
            discard(connection);
        }
        serve();
    }

    /** Notes that a connection did not become ready; it ends one attempt, as there was one connection for each. */
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

    /** Removes a connection that is closed, which leaves room for another. */
    void closed(HostConnection connection) {
        idle.remove(connection);
        if (connections.remove(connection)) {
            pools.connectionClosed();
            serve();
        }
    }

    /** Closes the connections that have been idle since before this time. */
    void evictIdle(long idleSinceBeforeMicros) {
        while (!idle.isEmpty() && idle.peekLast().idleSinceMicros() < idleSinceBeforeMicros) {
            discard(idle.pollLast());
        }
    }

    private void evictAllIdle() {
        evictIdle(Long.MAX_VALUE);
    }

    /** Since when its longest idle connection has been idle; {@link Long#MAX_VALUE} where none is. */
    long longestIdleSinceMicros() {
        return idle.isEmpty() ? Long.MAX_VALUE : idle.peekLast().idleSinceMicros();
    }

    /** Closes its longest idle connection; there must be one. */
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
