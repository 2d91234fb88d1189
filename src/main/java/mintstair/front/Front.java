package mintstair.front;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.SelectableChannel;
import java.util.Comparator;
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
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.nio.transport.TCPNIOBindingHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOServerConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;

/** Where the clients of one protocol connect: the listener, and the sessions that are open. */
public abstract class Front {
    /** What all clients together may have sent ahead of their answers: the heap is small. */
    private static final int MOST_AHEAD = 8 * 1024 * 1024;
    /** A client with no request open for less than this is about to ask: one that came later is turned away instead. */
    private static final long IDLE = 250_000;
    /** Where there is no room at all, this is idle enough. */
    private static final long SHORTLY = 20_000;
    /** From this share of the most clients on, each that comes lets the one go that has been idle for longest. */
    private static final double CROWDED = 0.4;

    private static final int FEW = 8;
    private static final long SWEEP_EVERY = 100_000;
    private static final int BACKLOG = 1024;
    private static final long DEREGISTERED = 500;
    /** At the end whoever waits to be accepted is taken in, though that fails for so many times so long. */
    private static final int ACCEPT_TRIES = 40;

    private static final long ACCEPT_AGAIN = 5_000;

    protected final EventLoop loop;
    protected final Dispatcher dispatcher;
    protected final Counters counters;
    final TCPNIOTransport transport;
    private volatile int mostClients;
    final AtomicLong unread = new AtomicLong();
    private final AtomicInteger open = new AtomicInteger();
    private final Set<ClientSession> sessions = new LinkedHashSet<>();
    private int ahead;
    private TCPNIOServerConnection listener;
    Recorder recorder;

    protected Front(
            EventLoop loop, Dispatcher dispatcher, TCPNIOTransport transport, Counters counters, int mostClients) {
        this.loop = loop;
        this.dispatcher = dispatcher;
        this.transport = transport;
        this.counters = counters;
        this.mostClients = mostClients;
        loop.every(SWEEP_EVERY, this::sweep);
    }

    /** From now on so many clients may be connected. */
    public void mostClients(int most) {
        mostClients = most;
    }

    /** Has what clients say and hear written to a capture file, from now on. */
    public void record(Recorder to) {
        recorder = to;
    }

    protected abstract ClientSession session(Connection<?> connection);

    /** Listens on the address, or on any free port of it for port 0; returns the port. */
    public int listen(InetSocketAddress address) throws IOException {
        MessageFilter filter = new MessageFilter(connection -> {
            // Those past the limit are told so by the loop; a flood that is faster than the loop gets no further.
            if (open.incrementAndGet() > mostClients + slack(mostClients)) {
                open.decrementAndGet();
                counters.shutOut.incrementAndGet();
                connection.terminateSilently();
                return null;
            }
            ClientSession session = session(connection);
            loop.execute(() -> accepted(session));
            return session;
        });
        listener = TCPNIOBindingHandler.builder(transport)
                .processor(FilterChainBuilder.stateless()
                        .add(new TransportFilter())
                        .add(filter)
                        .build())
                .build()
                .bind(address, BACKLOG);
        return ((InetSocketAddress) listener.getLocalAddress()).getPort();
    }

    private void accepted(ClientSession session) {
        counters.clientsOpened++;
        sessions.add(session);
        session.accepted(recorder);
        // Those on their way out have made room already: counted again, they would take others with them.
        long staying = sessions.stream().filter(each -> !each.isLeaving()).count();
        // Descriptors are few: past this many clients the hosts' connections would find none left.
        if (staying > mostClients) {
            makeRoom(session);
        } else if (staying > Math.max(FEW, mostClients * CROWDED)) {
            // Clients run short of connections of their own before the descriptors here do.
            evictOne(session, IDLE, false);
            evictIdlest();
        }
    }

    /**
     * Lets one client go that has had nothing open for {@code least}: first one that has said nothing yet, then one that has not
     * asked for anything yet, then, if they may, one that has {@code asked}; of the same sort the one that has been so for longest. Those who ask at once
     * and keep their connection for the next time must not make room for those who come and say nothing.
     */
    private boolean evictOne(ClientSession but, long least, boolean asked) {
        long now = loop.now();
        ClientSession first = null;
        for (ClientSession session : sessions) {
            if (session != but
                    && now - session.idleSince() >= least
                    && (asked || !session.hasAsked())
                    && (first == null || session.goesBefore(first))) {
                first = session;
            }
        }
        if (first == null) {
            return false;
        }
        if (first.isMute()) {
            counters.clientsTurnedAway++;
            first.turnAway();
        } else {
            counters.clientsIdledOut++;
            first.drain(ClientCloseReason.IDLED_OUT);
        }
        return true;
    }

    /** Of those that have asked, lets the one go that has been idle for longest. */
    private void evictIdlest() {
        long before = loop.now() - IDLE;
        sessions.stream()
                .filter(session -> session.hasAsked() && session.idleSince() <= before)
                .min(Comparator.comparingLong(ClientSession::idleSince))
                .ifPresent(idlest -> {
                    counters.clientsIdledOut++;
                    idlest.drain(ClientCloseReason.IDLED_OUT);
                });
    }

    /** Whether all connections that clients may have are taken; on any thread. */
    boolean isCrowded() {
        return open.get() > mostClients;
    }

    /** How many connections beyond {@code mostClients} may be open while they are told that there is no room. */
    public static int slack(int mostClients) {
        return Math.max(8, mostClients / 8);
    }

    /** There is no room: one that comes brings a request, while what is idle loses nothing. */
    private void makeRoom(ClientSession newest) {
        if (!evictOne(newest, SHORTLY, true)) {
            ClientSession mute = sessions.stream()
                    .filter(session -> session != newest && session.isMute() && !session.isLeaving())
                    .findFirst()
                    .orElse(newest);
            counters.clientsTurnedAway++;
            mute.turnAway();
        }
    }

    private void sweep() {
        long now = loop.now();
        List.copyOf(sessions).forEach(session -> session.sweep(now));
    }

    /** A connection was closed; on any thread. */
    void closed() {
        open.decrementAndGet();
    }

    /** What this front took in, sent and answered so far, on one line. */
    public String counters() {
        return counters.toString();
    }

    /** Notes that clients have sent so many bytes more, or less, ahead of their answers; false past the limit. */
    boolean sentAhead(int change) {
        ahead += change;
        return ahead <= MOST_AHEAD;
    }

    void left(ClientSession session) {
        sessions.remove(session);
    }

    /**
     * Listens no more; the result is there, on the loop, when every connection that the kernel had taken in is a session or was
     * turned away. What the kernel has taken in for this listener is accepted first: closing resets it, though another
     * process listens on the same address. So the channel leaves its selector, which would put the close off.
     */
    public CompletableFuture<Void> stopListening() {
        TCPNIOServerConnection ending = listener;
        CompletableFuture<Void> ended = new CompletableFuture<>();
        ending.executeInEventThread(IOEvent.SERVER_ACCEPT, () -> {
            ending.getSelectionKey().cancel();
            loop.execute(() -> drainAndClose(ending, ended, ACCEPT_TRIES));
        });
        return ended;
    }

    private void drainAndClose(TCPNIOServerConnection ending, CompletableFuture<Void> ended, int triesLeft) {
        if (ending.getChannel().isRegistered()) {
            loop.at(loop.now() + DEREGISTERED, () -> drainAndClose(ending, ended, triesLeft));
            return;
        }
        try {
            // Each takes one connection, if there is one; a call to an empty queue costs next to nothing.
            for (int i = 0; i < BACKLOG; i++) {
                ending.onAccept();
            }
        } catch (IOException e) {
            // Descriptors may be short for a moment, and the close resets whoever still waits.
            if (triesLeft > 0) {
                loop.at(loop.now() + ACCEPT_AGAIN, () -> drainAndClose(ending, ended, triesLeft - 1));
                return;
            }
            System.err.println("front: clients that wait are reset: " + e.getMessage());
        }
        close(ending.getChannel());
        // Not on the event thread: the next listener's registration was seen to go unnoticed after that, for 10 s.
        ending.closeSilently();
        // Behind the sessions that were accepted right now, which are on their way to the loop.
        loop.execute(() -> ended.complete(null));
    }

    /** Drains: lets every client go that has no request here. */
    public void drain() {
        for (ClientSession session : List.copyOf(sessions)) {
            session.drain(ClientCloseReason.DRAINED);
        }
    }

    /** Ends the connections of clients that are in the middle of a message: they have no time left for the rest of it. */
    public void endUnfinished() {
        List.copyOf(sessions).forEach(ClientSession::endUnfinished);
    }

    private static void close(SelectableChannel listener) {
        try {
            listener.close();
        } catch (IOException e) {
            System.err.println("front: " + e.getMessage());
        }
    }

    public int clients() {
        return sessions.size();
    }

    /** How many connections of clients are open, those that the loop has not come to included; on any thread. */
    public int connections() {
        return open.get();
    }
}
