package mintstair.membership;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import mintstair.config.ConfigException;
import mintstair.config.MembershipConfig;
import mintstair.membership.swim.ClusterSizeEstimate;
import mintstair.membership.swim.ConnectionCheckResult;
import mintstair.membership.swim.GossipUpdate;
import mintstair.membership.swim.MemberState;
import mintstair.membership.swim.MembershipView;
import mintstair.membership.swim.Message;
import mintstair.membership.swim.Swim;
import mintstair.membership.swim.SwimActions;
import mintstair.membership.swim.SwimSettings;
import mintstair.membership.swim.SwimStatistics;
import mintstair.time.MonotonicClock;

/**
 * This proxy as a member of its fleet: a daemon thread that drives the protocol with a datagram socket and a server
 * socket at the same port.
 *
 * <p>Only that thread touches {@link Swim} and the sockets. All public methods may be called from any thread.
 */
public final class FleetMember implements AutoCloseable {
    /** Datagrams handled before the time is checked again, so that a flood does not delay this member's probes. */
    private static final int MAX_DATAGRAMS_PER_ITERATION = 64;
    /**
     * How long {@link #close} waits for the announcement that this member leaves. The process is killed 3.7 s after
     * SIGTERM, and on a busy machine the thread may need some time to run.
     */
    private static final long LEAVE_TIMEOUT_MILLIS = 1_500;

    private static final long MICROS_PER_MILLI = 1_000;

    private final MessageCodec codec;
    private final MembershipSockets sockets;
    private final Swim swim;
    private final Consumer<MembershipView> viewListener;
    private final Consumer<String> log;
    private final AddressCache addresses = new AddressCache();
    private final ByteBuffer receiveBuffer = ByteBuffer.allocate(MessageCodec.MAX_DATAGRAM_BYTES + 1);
    private final CountDownLatch ended = new CountDownLatch(1);
    private final Thread thread;
    private final String address;
    private final MonotonicClock clock = new MonotonicClock();
    private final AtomicLong malformedMessages = new AtomicLong();
    private final AtomicLong sendFailures = new AtomicLong();
    private volatile MembershipView view;
    private volatile SwimStatistics statistics;
    private volatile boolean closing;

    /**
     * Binds the sockets; {@link #start} begins the protocol.
     *
     * @param config the fleet and the addresses
     * @param name this member's name, unique in the fleet
     * @param configuredSize how many members the settings expect
     * @param seed seed of the protocol's random decisions
     * @param viewListener receives each new view, on the member's thread; the first one in {@link #start}
     * @param log receives lines for people
     * @throws ConfigException if the name cannot be sent in a datagram
     * @throws IOException if the address is not available
     */
    public FleetMember(
            MembershipConfig config,
            String name,
            int configuredSize,
            long seed,
            Consumer<MembershipView> viewListener,
            Consumer<String> log)
            throws IOException {
        requireValidName(name);
        codec = new MessageCodec(config.fleet());
        this.viewListener = viewListener;
        this.log = log;
        sockets = MembershipSockets.bind(config.listen(), name, this::connectionChecked);
        address = advertisedAddress(config, sockets.port());
        SwimSettings settings = SwimSettings.forLocalNetwork(configuredSize).withPeriodMicros(config.periodMicros());
        swim = new Swim(nowMicros(), seed, name, address, config.seeds(), settings, new NetworkActions());
        view = swim.view();
        statistics = swim.statistics();
        thread = new Thread(this::run, "membership");
        thread.setDaemon(true);
    }

    private static void requireValidName(String name) {
        if (!name.matches("[!-~]{1," + MessageCodec.MAX_NAME_BYTES + "}")) {
            throw new ConfigException(
                    "membership: name must have 1 to " + MessageCodec.MAX_NAME_BYTES + " printable ASCII characters");
        }
    }

    private static String advertisedAddress(MembershipConfig config, int port) {
        if (config.advertise() != null) {
            return config.advertise();
        }
        return config.listen().getHostString() + ":" + port;
    }

    /** Publishes the first view and starts the thread. */
    public void start() {
        viewListener.accept(view);
        thread.start();
        log.accept("membership: " + view.self().name() + " at " + address);
    }

    /** The newest view. */
    public MembershipView view() {
        return view;
    }

    /** Counters of the protocol up to now. */
    public SwimStatistics statistics() {
        return statistics;
    }

    /** Datagrams received that were not well-formed messages of this fleet. */
    public long malformedMessages() {
        return malformedMessages.get();
    }

    /** Messages that could not be sent. */
    public long sendFailures() {
        return sendFailures.get();
    }

    /** The text of the {@code members} command. */
    public String report() {
        return MembersReport.format(view, nowMicros());
    }

    /** Unix microseconds at the start, and from there on monotonic. */
    private long nowMicros() {
        return clock.getAsLong();
    }

    // ---- the member's thread ----

    private void run() {
        try {
            while (!closing) {
                runOnce();
            }
            swim.leave();
        } catch (IOException e) {
            log.accept("membership: stopped: " + e.getMessage());
        } finally {
            ended.countDown();
            closeSockets();
        }
    }

    private void closeSockets() {
        try {
            sockets.close();
        } catch (IOException e) {
            log.accept("membership: close: " + e.getMessage());
        }
    }

    private void runOnce() throws IOException {
        awaitEvents();
        long versionBefore = swim.version();
        ClusterSizeEstimate estimateBefore = swim.sizeEstimate();
        // Time comes first: after a stall the protocol has to know of it before it handles what arrived meanwhile.
        swim.tick(nowMicros());
        handleEvents();
        sockets.connectionChecker().expire(nowMicros());
        statistics = swim.statistics();
        if (versionBefore != swim.version() || !estimateBefore.equals(swim.sizeEstimate())) {
            view = swim.view();
            viewListener.accept(view);
        }
    }

    private void awaitEvents() throws IOException {
        Selector selector = sockets.selector();
        long waitMicros = swim.nextTickMicros() - nowMicros();
        if (waitMicros > 0) {
            selector.select(Math.max(1, waitMicros / MICROS_PER_MILLI));
        } else {
            selector.selectNow();
        }
    }

    private void handleEvents() throws IOException {
        for (SelectionKey key : sockets.selector().selectedKeys()) {
            if (key.isValid() && !sockets.connectionChecker().handle(key)) {
                receiveDatagrams();
            }
        }
        sockets.selector().selectedKeys().clear();
    }

    private void receiveDatagrams() throws IOException {
        for (int i = 0; i < MAX_DATAGRAMS_PER_ITERATION; i++) {
            receiveBuffer.clear();
            if (sockets.datagrams().receive(receiveBuffer) == null) {
                return;
            }
            Optional<Message> message = codec.decode(receiveBuffer.flip());
            if (message.isPresent()) {
                swim.received(nowMicros(), message.get());
            } else {
                malformedMessages.incrementAndGet();
            }
        }
    }

    private void connectionChecked(long sequence, ConnectionCheckResult result) {
        swim.connectionChecked(nowMicros(), sequence, result);
    }

    /** Announces that this member leaves; returns when that is done, or after 1.5 s. */
    @Override
    public void close() {
        closing = true;
        sockets.selector().wakeup();
        try {
            ended.await(LEAVE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Does at once what the protocol asks for. */
    private final class NetworkActions implements SwimActions {
        @Override
        public void send(String receiver, Message message) {
            try {
                if (!isSent(receiver, message)) {
                    sendFailures.incrementAndGet();
                }
            } catch (IOException | ConfigException e) {
                // Like a datagram lost on the network, which the protocol expects; a malformed address in an update
                // is never reached.
                sendFailures.incrementAndGet();
            }
        }

        private boolean isSent(String receiver, Message message) throws IOException {
            InetSocketAddress resolved = addresses.resolve(receiver);
            return !resolved.isUnresolved()
                    && sockets.datagrams().send(ByteBuffer.wrap(codec.encode(message)), resolved) != 0;
        }

        @Override
        public void checkConnection(long sequence, String target, String targetAddress) {
            try {
                sockets.connectionChecker().start(nowMicros(), sequence, target, addresses.resolve(targetAddress));
            } catch (ConfigException e) {
                // A malformed address in an update: nothing can be reached there.
                swim.connectionChecked(nowMicros(), sequence, ConnectionCheckResult.UNRESPONSIVE);
            }
        }

        @Override
        public void memberChanged(GossipUpdate update, MemberState previous) {
            String state = update.state().name().toLowerCase(Locale.ROOT);
            String source = update.reporter().equals(update.name()) ? "" : ", reported by " + update.reporter();
            log.accept("membership: " + update.name() + " is " + state + source);
        }
    }
}
