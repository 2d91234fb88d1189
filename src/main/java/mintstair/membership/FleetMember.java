package mintstair.membership;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardProtocolFamily;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import mintstair.config.ConfigException;
import mintstair.config.MembershipConfig;
import mintstair.config.NodeConfig;
import mintstair.membership.swim.ClusterSizeEstimate;
import mintstair.membership.swim.GossipUpdate;
import mintstair.membership.swim.MemberState;
import mintstair.membership.swim.Message;
import mintstair.membership.swim.Swim;
import mintstair.membership.swim.SwimSettings;
import mintstair.membership.swim.View;
import mintstair.time.MonotonicClock;

/** This proxy as a member of its fleet: one thread with one datagram socket and a listener at the same port. */
public final class FleetMember implements AutoCloseable {
    /** What is handled before time is looked at again: a flood must not keep this member from its own probes. */
    private static final int DATAGRAMS_A_TURN = 64;

    private static final int PORTS_TRIED = 20;
    /** A process told to end is not killed for 3.7 s: on a busy machine the thread may need some of them to say so. */
    private static final long LEAVE_MILLIS = 1_500;
    /** Addresses are looked up once each; one that changes its meaning is not followed. */
    private static final int MOST_ADDRESSES = 8_192;

    private final MessageCodec codec;
    private final Selector selector;
    private final DatagramChannel datagrams;
    private final ConnectionChecker checks;
    private final Swim swim;
    private final Consumer<View> told;
    private final Consumer<String> log;
    private final Map<String, InetSocketAddress> addresses = new HashMap<>();
    private final ByteBuffer in = ByteBuffer.allocate(MessageCodec.MOST_BYTES + 1);
    private final CountDownLatch ended = new CountDownLatch(1);
    private final Thread thread;
    private final String address;
    private final MonotonicClock clock = new MonotonicClock();
    private volatile View view;
    private volatile View.Tally tally;
    private volatile boolean ends;
    private volatile long garbled;
    private volatile long unsent;

    /**
     * Binds its address; throws where that can't be had, or the name is too long for a datagram.
     *
     * @param size how many members the settings tell of
     * @param told takes each new view, on the member's thread
     */
    public FleetMember(
            MembershipConfig config, String name, int size, long seed, Consumer<View> told, Consumer<String> log)
            throws IOException {
        if (!name.matches("[!-~]{1," + MessageCodec.NAME + "}")) {
            throw new ConfigException(
                    "membership: name must have 1 to " + MessageCodec.NAME + " printable ASCII characters");
        }
        codec = new MessageCodec(config.fleet());
        this.told = told;
        this.log = log;
        selector = Selector.open();
        Bound bound = bind(config.listen(), name);
        datagrams = bound.datagrams;
        checks = bound.checks;
        datagrams.configureBlocking(false);
        datagrams.register(selector, SelectionKey.OP_READ);
        address = config.advertise() == null ? config.listen().getHostString() + ":" + bound.port : config.advertise();
        SwimSettings settings = SwimSettings.usual(size).withPeriod(config.periodMicros());
        swim = new Swim(now(), seed, name, address, config.seeds(), settings, new Out());
        view = swim.view();
        tally = swim.tally();
        thread = new Thread(this::run, "membership");
        thread.setDaemon(true);
    }

    /** Both sockets at their one port. */
    private record Bound(DatagramChannel datagrams, ConnectionChecker checks, int port) {}

    /** A port that is free for datagrams may be taken for connections: where any port will do, others are tried. */
    private Bound bind(InetSocketAddress listen, String name) throws IOException {
        for (int i = 1; ; i++) {
            DatagramChannel channel = DatagramChannel.open(StandardProtocolFamily.INET);
            int port = listen.getPort();
            try {
                channel.bind(listen);
                port = ((InetSocketAddress) channel.getLocalAddress()).getPort();
                InetSocketAddress both = new InetSocketAddress(listen.getAddress(), port);
                return new Bound(channel, new ConnectionChecker(selector, name, both, this::checked), port);
            } catch (IOException e) {
                channel.close();
                if (listen.getPort() != 0 || i == PORTS_TRIED) {
                    selector.close();
                    throw new IOException(
                            "membership: " + listen.getHostString() + ":" + port + ": " + e.getMessage(), e);
                }
            }
        }
    }

    public void start() {
        told.accept(view);
        thread.start();
        log.accept("membership: " + view.self().name() + " at " + address);
    }

    /** The newest view, from any thread. */
    public View view() {
        return view;
    }

    /** What has happened up to now, from any thread. */
    public View.Tally tally() {
        return tally;
    }

    /** What came that was no message of this fleet, and what this member's machine did not send. */
    public long garbled() {
        return garbled;
    }

    public long unsent() {
        return unsent;
    }

    /** Unix microseconds at the start, and as many more as have passed: a clock that is set moves nothing. */
    private long now() {
        return clock.getAsLong();
    }

    private void run() {
        try {
            while (!ends) {
                turn();
            }
            swim.leave();
        } catch (IOException e) {
            log.accept("membership ended: " + e.getMessage());
        } finally {
            ended.countDown();
            try {
                checks.close();
                datagrams.close();
                selector.close();
            } catch (IOException e) {
                // They are closed all the same.
            }
        }
    }

    private void turn() throws IOException {
        long wait = swim.nextTick() - now();
        if (wait > 0) {
            selector.select(Math.max(1, wait / 1000));
        } else {
            selector.selectNow();
        }
        // Time first: a process that stood still has to know it before it hears what came meanwhile.
        long version = swim.version();
        ClusterSizeEstimate.Standing standing = swim.standing();
        swim.tick(now());
        for (SelectionKey key : selector.selectedKeys()) {
            if (!key.isValid()) {
                continue;
            }
            if (!checks.handles(key)) {
                receive();
            }
        }
        selector.selectedKeys().clear();
        checks.expire(now());
        tally = swim.tally();
        if (version != swim.version() || !standing.equals(swim.standing())) {
            view = swim.view();
            told.accept(view);
        }
    }

    @SuppressWarnings("NonAtomicVolatileUpdate") // only the member's own thread writes it
    private void receive() throws IOException {
        for (int i = 0; i < DATAGRAMS_A_TURN; i++) {
            in.clear();
            if (datagrams.receive(in) == null) {
                return;
            }
            Message message = codec.decode(in.flip());
            if (message == null) {
                garbled++;
            } else {
                swim.received(now(), message);
            }
        }
    }

    private void checked(long number, Swim.Check result) {
        swim.checked(now(), number, result);
    }

    /** Tells the others that this proxy ends; returns when they have been told, or soon. */
    @Override
    public void close() {
        ends = true;
        selector.wakeup();
        try {
            ended.await(LEAVE_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private InetSocketAddress resolved(String text) {
        InetSocketAddress known = addresses.get(text);
        if (known == null) {
            if (addresses.size() >= MOST_ADDRESSES) {
                addresses.clear();
            }
            known = NodeConfig.address(text);
            addresses.put(text, known);
        }
        return known;
    }

    /** What the machine asks for, done at once on its thread. */
    private final class Out implements Swim.Actions {
        @Override
        @SuppressWarnings("NonAtomicVolatileUpdate") // only the member's own thread writes it
        public void send(String to, Message message) {
            try {
                InetSocketAddress where = resolved(to);
                if (where.isUnresolved() || datagrams.send(ByteBuffer.wrap(codec.encode(message)), where) == 0) {
                    unsent++;
                }
            } catch (IOException | ConfigException e) {
                // Lost, as datagrams are; an address that is told wrong is never reached.
                unsent++;
            }
        }

        @Override
        public void check(long number, String target, String to) {
            try {
                checks.begin(now(), number, target, resolved(to));
            } catch (ConfigException e) {
                swim.checked(now(), number, Swim.Check.SILENT);
            }
        }

        @Override
        public void changed(GossipUpdate known, MemberState before) {
            log.accept("membership: " + known.name() + " is "
                    + known.state().name().toLowerCase(Locale.ROOT)
                    + (known.by().equals(known.name()) ? "" : ", says " + known.by()));
        }
    }

    /** Lines for whoever asks for the view: this member, the others by name, and what follows. */
    public String lines() {
        View v = view;
        StringBuilder lines = new StringBuilder();
        line(lines, v.self()).append(" self\n");
        for (View.Seen m : v.members()) {
            line(lines, m.known())
                    .append(" for=")
                    .append(Math.max(0, now() - m.since()) / 1_000_000)
                    .append('s')
                    .append(m.dropped() ? " dropped" : "")
                    .append('\n');
        }
        return lines.append("view version=")
                .append(v.version())
                .append(" settled=")
                .append(v.standing().settled())
                .append(" quorum=")
                .append(v.standing().quorum())
                .append(" counted=")
                .append(v.standing().counted())
                .append(" largest=")
                .append(v.standing().largest())
                .append('\n')
                .toString();
    }

    private static StringBuilder line(StringBuilder lines, GossipUpdate r) {
        return lines.append("member ")
                .append(r.name())
                .append(' ')
                .append(r.state().name().toLowerCase(Locale.ROOT))
                .append(' ')
                .append(r.address())
                .append(" incarnation=")
                .append(r.incarnation());
    }
}
