package mintstair.front.pg;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.IntPredicate;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.nio.transport.TCPNIOBindingHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOServerConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import mintstair.proxy.Dispatcher;
import mintstair.proxy.Loop;
import mintstair.stats.Counters;
import mintstair.wire.MessageFilter;

/** Where clients that speak PostgreSQL's protocol connect. */
public final class PgFront {
    final Loop loop;
    final Dispatcher dispatcher;
    final TCPNIOTransport transport;
    final Counters counters;
    private final IntPredicate clusters;
    private final Set<PgSession> sessions = new HashSet<>();
    private List<Runnable> untilReady = new ArrayList<>();
    private TCPNIOServerConnection listener;

    public PgFront(Loop loop, Dispatcher dispatcher, TCPNIOTransport transport, Counters counters,
            IntPredicate clusters) {
        this.loop = loop;
        this.dispatcher = dispatcher;
        this.transport = transport;
        this.counters = counters;
        this.clusters = clusters;
    }

    public void listen(InetSocketAddress address) throws IOException {
        MessageFilter filter = new MessageFilter(connection -> {
            PgSession session = new PgSession(this, connection);
            loop.execute(() -> {
                counters.clientsOpened++;
                sessions.add(session);
            });
            return session;
        });
        listener = TCPNIOBindingHandler.builder(transport)
            .processor(FilterChainBuilder.stateless().add(new TransportFilter()).add(filter).build()).build()
            .bind(address, 1024);
    }

    boolean knowsCluster(int cluster) {
        return clusters.test(cluster);
    }

    /** An empty query is how the front layer asks whether this proxy can serve: it is answered when it can. */
    void whenReady(PgSession session, Runnable answer) {
        if (untilReady == null) {
            answer.run();
        } else {
            untilReady.add(answer);
        }
    }

    public void ready() {
        if (untilReady != null) {
            List<Runnable> answers = untilReady;
            untilReady = null;
            answers.forEach(Runnable::run);
        }
    }

    void left(PgSession session) {
        sessions.remove(session);
    }

    public void stopListening() {
        listener.closeSilently();
    }

    /** Lets every client go between requests. */
    public void letGo() {
        for (PgSession session : List.copyOf(sessions)) {
            session.closeWhenIdle();
        }
    }

    public int clients() {
        return sessions.size();
    }
}
