package mintstair.backend;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import mintstair.request.AttemptVerdict;
import mintstair.request.ConnectionEnd;
import mintstair.request.EndpointList;
import mintstair.request.HostReply;
import mintstair.retry.Backoff;

/** The connections to one db host and the calls that wait for one. */
final class HostConnectionPool {
    /** More than this to one host serves nobody: it works on far fewer at a time. */
    private static final int MOST = 80;

    /** Spare connections of a host that is new, or cannot be reached, are not opened by all proxies at once. */
    private static final long REST = 1_000_000;

    private static final long REST_MOST = 8_000_000;
    /** What is known of a host that is gone: where the list is only advice, it may still be sent to. */
    private static final long KEPT = 60_000_000;

    final String name;
    private final ConnectionPools backends;
    private final ArrayDeque<HostConnection> idle = new ArrayDeque<>();
    private final Set<HostConnection> all = new HashSet<>();
    private final ArrayDeque<PendingAttempt> waiting = new ArrayDeque<>();
    private InetSocketAddress address;
    private int opening;
    private final Backoff backoff;
    private long restUntil;
    private boolean serving;
    private long goneSince;

    HostConnectionPool(String name, ConnectionPools backends) {
        this.name = name;
        this.backends = backends;
        backoff = new Backoff(backends.random, REST, REST_MOST);
        spareLater();
    }

    /** Lets spare connections wait for a random part of a second. */
    void spareLater() {
        restUntil = backends.loop.now() + (long) (backends.random.nextDouble() * REST);
    }

    void listed(EndpointList.Entry entry) {
        if (entry.state() == EndpointList.State.REMOVED) {
            gone();
            return;
        }
        int colon = entry.endpoint().lastIndexOf(':');
        InetSocketAddress now = new InetSocketAddress(
                entry.endpoint().substring(0, colon),
                Integer.parseInt(entry.endpoint().substring(colon + 1)));
        serving = entry.state() == EndpointList.State.SERVING;
        goneSince = backends.loop.now();
        if (!now.equals(address) || !serving) {
            closeIdle(Long.MAX_VALUE);
        }
        address = now;
        keepReady();
    }

    /** Opens what is missing of the connections that are kept ready. */
    void keepReady() {
        serve();
    }

    boolean isServing() {
        return serving;
    }

    void gone() {
        goneSince = serving ? backends.loop.now() : goneSince;
        serving = false;
        closeIdle(Long.MAX_VALUE);
    }

    /** See {@link mintstair.proxy.Backend#failQueuedForUnavailable}; only what waits by now, as some of it may be sent here again on purpose. */
    void failQueuedForUnavailable() {
        if (!serving) {
            List.copyOf(waiting).forEach(call -> call.stop(ConnectionEnd.NEVER_SENT));
        }
    }

    /** Closes those that have had no call since {@code before}. */
    void closeIdle(long before) {
        while (!idle.isEmpty() && idle.peekLast().idleSince < before) {
            drop(idle.pollLast());
        }
    }

    private void drop(HostConnection c) {
        c.close();
        if (all.remove(c)) {
            backends.closed();
        }
    }

    /** Since when the connection that is idle for longest has been, or never where none is to spare. */
    long idlestSince() {
        return idle.isEmpty() ? Long.MAX_VALUE : idle.peekLast().idleSince;
    }

    void closeIdlest() {
        drop(idle.pollLast());
    }

    /** Whether nothing is left of a host that has been gone for long. */
    boolean isOver(long now) {
        return !serving && all.isEmpty() && waiting.isEmpty() && now - goneSince > KEPT;
    }

    void send(PendingAttempt call) {
        long now = backends.loop.now();
        call.pool = this;
        long connectBy = Math.min(Math.min(call.writeBy, call.until), now + backends.connectTimeout);
        call.timer = backends.loop.at(connectBy, () -> timeUp(call));
        closeIdle(backends.idleBefore());
        waiting.add(call);
        serve();
    }

    /** Either no connection came up in time, or no answer did. */
    private void timeUp(PendingAttempt call) {
        long now = backends.loop.now();
        if (call.connection == null) {
            boolean late = now >= call.writeBy && now < call.until;
            call.stop(opening > 0 && !late ? ConnectionEnd.CONNECT_TIMEOUT : ConnectionEnd.NEVER_SENT);
        } else if (call.flows() && call.connection.gives(now)) {
            call.timer = backends.loop.at(now + REST, () -> timeUp(call));
        } else if (now < call.until) {
            call.timer = backends.loop.at(call.until, () -> timeUp(call));
        } else {
            call.stop(ConnectionEnd.TIMED_OUT);
        }
    }

    private void serve() {
        while (!waiting.isEmpty() && !idle.isEmpty()) {
            HostConnection c = idle.pollFirst();
            if (c.isClean()) {
                PendingAttempt next = waiting.pollFirst();
                long now = backends.loop.now();
                AttemptVerdict verdict = next.mayBegin(now);
                if (verdict == AttemptVerdict.MAY_BEGIN) {
                    c.send(next, now);
                } else {
                    backends.counters.heldBack(verdict);
                    next.stop(ConnectionEnd.NEVER_SENT);
                    idle.addFirst(c);
                }
            } else {
                drop(c);
            }
        }
        boolean spares = serving && backends.loop.now() >= restUntil;
        int wanted = waiting.size() + (spares ? Math.max(0, backends.spares() - idle.size()) : 0);
        // Only what a call waits for pushes out another host's idle one: spares would push out each other without end.
        while (opening < wanted && all.size() < MOST && backends.mayOpen(opening < waiting.size())) {
            backends.counters.hostsSpare += opening < waiting.size() ? 0 : 1;
            opening++;
            HostConnection c = new HostConnection(this, backends);
            all.add(c);
            c.open(address);
        }
    }

    void opened(HostConnection c) {
        opening--;
        backoff.reset();
        freed(c);
    }

    void freed(HostConnection c) {
        if (c.leadsTo(address) && (serving || !waiting.isEmpty())) {
            idle.addFirst(c);
        } else {
            drop(c);
        }
        serve();
    }

    void openingFailed(HostConnection c, ConnectionEnd why) {
        opening--;
        backends.counters.hostsNotUp++;
        // A host that is out of reach is not knocked at for the sake of spare connections.
        restUntil = backends.loop.now() + backoff.next();
        closed(c);
        PendingAttempt first = waiting.pollFirst();
        if (first != null) {
            first.end(HostReply.of(why));
        }
    }

    void closed(HostConnection c) {
        idle.remove(c);
        if (all.remove(c)) {
            backends.closed();
            serve();
        }
    }

    void forget(PendingAttempt call) {
        waiting.remove(call);
    }
}
