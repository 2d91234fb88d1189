package mintstair.backend;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import mintstair.proxy.Backend;
import mintstair.proxy.EventLoop;
import mintstair.request.ConnectionEnd;
import mintstair.request.EndpointList;
import mintstair.request.HostReply;
import mintstair.request.Statement;
import mintstair.stats.Counters;
import mintstair.wire.MessageFilter;
import mintstair.wire.Recorder;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.nio.transport.TCPNIOConnectorHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;

/** The pools of all db hosts. */
public final class ConnectionPools implements Backend {
    /** A host closes at its idle limit at the latest; a request that meets this is lost, so stay well clear. */
    private static final double IDLE_MARGIN = 0.8;

    private static final long SWEEP_EVERY = 1_000_000;

    final EventLoop loop;
    final Protocol protocol;
    final TCPNIOTransport transport;
    final TCPNIOConnectorHandler connector;
    final MessageFilter filter = new MessageFilter();
    long connectTimeout;
    final IdleReusePolicy trust = new IdleReusePolicy();
    private long idleLimit;
    /** Bytes of long answers that wait for their clients, and where they become too many for the heap. */
    final AtomicLong held = new AtomicLong();

    static final long MOST_HELD = 6 * 1024 * 1024;
    final Random random;
    private final int most;
    final Counters counters;
    private final Map<String, HostConnectionPool> pools = new HashMap<>();
    private int open;
    private boolean opened;
    private int spares;
    Recorder recorder = Recorder.NONE;

    public ConnectionPools(
            EventLoop loop,
            Protocol protocol,
            TCPNIOTransport transport,
            long connectTimeout,
            long idle,
            int most,
            Random random,
            Counters counters) {
        this.loop = loop;
        this.protocol = protocol;
        this.transport = transport;
        this.most = most;
        this.random = random;
        this.counters = counters;
        times(connectTimeout, idle);
        connector = TCPNIOConnectorHandler.builder(transport)
                .processor(FilterChainBuilder.stateless()
                        .add(new TransportFilter())
                        .add(filter)
                        .build())
                .build();
        loop.every(SWEEP_EVERY, this::sweep);
    }

    /** What counts from now on: how long a connection may take to come up, and how long a host keeps it idle. */
    public void times(long connecting, long idle) {
        connectTimeout = connecting;
        idleLimit = (long) (idle * IDLE_MARGIN);
    }

    /** Has connections recorded that are made from now on. */
    public void record(Recorder to) {
        recorder = to;
    }

    /** A connection left idle to its host's limit would be closed there, at a time that nobody here knows. */
    private void sweep() {
        // Hosts come and go under new names all day long.
        pools.values().removeIf(pool -> pool.isOver(loop.now()));
        for (HostConnectionPool pool : pools.values()) {
            pool.closeIdle(idleBefore());
            pool.keepReady();
        }
    }

    /** Connections that have been idle since before this are not used any more. */
    long idleBefore() {
        return loop.now() - Math.min(idleLimit, trust.longest());
    }

    /** How many idle connections each host is to have; none where those kept for a while cannot be relied on. */
    int spares() {
        return (opened || spares == PreconnectPolicy.READY) && trust.longest() >= SWEEP_EVERY ? spares : 0;
    }

    /**
     * Clients come from now on: spare connections are opened, not to all hosts at once. Where hosts are too many for all of their
     * spares they are not opened before: this process is busy with its start, and they would not come up in time.
     */
    public void open() {
        opened = true;
        pools.values().forEach(HostConnectionPool::spareLater);
    }

    @Override
    public void listed(EndpointList list) {
        Set<String> named = new HashSet<>();
        for (EndpointList.Entry entry : list.entries()) {
            named.add(entry.host());
            pools.computeIfAbsent(entry.host(), name -> new HostConnectionPool(name, this))
                    .listed(entry);
        }
        spares = PreconnectPolicy.each(
                (int) pools.values().stream()
                        .filter(HostConnectionPool::isServing)
                        .count(),
                most);
        pools.forEach((name, pool) -> {
            if (list.whole() && !named.contains(name)) {
                pool.gone();
            }
        });
    }

    @Override
    public void failQueuedForUnavailable() {
        pools.values().forEach(HostConnectionPool::failQueuedForUnavailable);
    }

    @Override
    public Attempt send(String host, Statement statement, long writeBy, long until, AttemptListener end) {
        return start(host, new PendingAttempt(statement::encode, writeBy, until, false, end));
    }

    @Override
    public void probe(String host, AttemptListener end) {
        long until = loop.now() + connectTimeout;
        start(host, new PendingAttempt(wait -> protocol.probe(), until, until, true, end));
    }

    private Attempt start(String host, PendingAttempt call) {
        HostConnectionPool pool = pools.get(host);
        if (pool == null) {
            call.timer = loop.at(call.until, () -> {});
            call.end(HostReply.of(ConnectionEnd.NEVER_SENT));
        } else {
            pool.send(call);
        }
        return call;
    }

    /** Whether there is a descriptor for one more; for a call that waits, another host's idle one is given up. */
    boolean mayOpen(boolean needed) {
        if (open >= most && needed) {
            pools.values().stream()
                    .min(Comparator.comparingLong(HostConnectionPool::idlestSince))
                    .filter(pool -> pool.idlestSince() < Long.MAX_VALUE)
                    .ifPresent(HostConnectionPool::closeIdlest);
        }
        if (open >= most) {
            return false;
        }
        open++;
        counters.hostsOpened++;
        return true;
    }

    void closed() {
        open--;
    }
}
