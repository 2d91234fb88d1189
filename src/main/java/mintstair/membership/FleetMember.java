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
 * Runs this proxy as a member of its fleet: a daemon thread drives the membership protocol with a datagram socket and a
 * server socket on the same port.
 *
 * <p>Only that thread uses {@link Swim} and the sockets. All public methods may be called from any thread.
 */
public final class FleetMember implements AutoCloseable {
    /** Bounds the datagrams handled between two ticks, so that a flood of them does not delay this member's probes. */
    private static final int MAX_DATAGRAMS_PER_ITERATION = 64;
    /**
     * How long {@link #close} waits until this member has announced that it leaves. The process is killed 3.7 s after
     * SIGTERM, and on a busy machine the thread may not be scheduled at once.
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
    private final CountDownLatch terminated = new CountDownLatch(1);
    private final Thread thread;
    private final String address;
    private final MonotonicClock clock = new MonotonicClock();
    private final AtomicLong malformedMessages = new AtomicLong();
    private final AtomicLong sendFailures = new AtomicLong();
    private volatile MembershipView view;
    private volatile SwimStatistics statistics;
    private volatile boolean closing;

    /**
     * Binds the sockets. The protocol runs from the call of {@link #start}.
     *
     * @param config the fleet and the addresses
     * @param name this member's name, unique in the fleet
     * @param configuredSize fleet size given in the configuration
     * @param seed seed of the protocol's random decisions
     * @param viewListener receives each new view on the member's thread, and the first one on the thread that calls
     *     {@link #start}
     * @param log receives log lines
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
        sockets = MembershipSockets.bind(config.listen(), name, this::onConnectionChecked);
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
            throw new ConfigException("membership: name must have 1 to " + MessageCodec.MAX_NAME_BYTES
                    + " printable ASCII characters without spaces, found " + name.length() + " characters: "
                    + name.replaceAll("[^ -~]", "?"));
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
        log.accept("membership: started member " + view.self().name() + " at " + address);
    }

    /** Returns the latest view. */
    public MembershipView view() {
        return view;
    }

    /** Returns the protocol's counters as of the last iteration of the member's thread. */
    public SwimStatistics statistics() {
        return statistics;
    }

    /** Returns the number of received datagrams that were not well-formed messages of this fleet. */
    public long malformedMessages() {
        return malformedMessages.get();
    }

    /** Returns the number of messages that could not be sent. */
    public long sendFailures() {
        return sendFailures.get();
    }

    /** Returns the output of the {@code members} command. */
    public String report() {
        return MembersReport.format(view, nowMicros());
    }

    /** Returns the Unix time of the start in microseconds, advanced by a monotonic clock since then. */
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
            log.accept("membership: stopped by an I/O error: " + e.getMessage());
        } finally {
            terminated.countDown();
            closeSockets();
        }
    }

    private void closeSockets() {
        try {
            sockets.close();
        } catch (IOException e) {
            log.accept("membership: closing the sockets failed: " + e.getMessage());
        }
    }

    private void runOnce() throws IOException {
        awaitEvents();
        long versionBefore = swim.version();
        ClusterSizeEstimate estimateBefore = swim.sizeEstimate();
        // The tick precedes the events: a stall must be detected before messages that arrived during it are handled.
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
                swim.onMessage(nowMicros(), message.get());
            } else {
                malformedMessages.incrementAndGet();
            }
        }
    }

    private void onConnectionChecked(long sequence, ConnectionCheckResult result) {
        swim.onConnectionChecked(nowMicros(), sequence, result);
    }

    /** Announces that this member leaves and stops its thread; returns when that is done, or after 1.5 s. */
    @Override
    public void close() {
        closing = true;
        sockets.selector().wakeup();
        try {
            terminated.await(LEAVE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Performs the protocol's actions on the network, synchronously. */
    private final class NetworkActions implements SwimActions {
        @Override
        public void send(String receiver, Message message) {
            try {
                if (!trySend(receiver, message)) {
                    sendFailures.incrementAndGet();
                }
            } catch (IOException | ConfigException e) {
                // The protocol tolerates lost datagrams. An update may also contain a malformed address, to which
                // nothing can be sent.
                sendFailures.incrementAndGet();
            }
        }

        private boolean trySend(String receiver, Message message) throws IOException {
            InetSocketAddress resolved = addresses.resolve(receiver);
            return !resolved.isUnresolved()
                    && sockets.datagrams().send(ByteBuffer.wrap(codec.encode(message)), resolved) != 0;
        }

        @Override
        public void checkConnection(long sequence, String target, String targetAddress) {
            try {
                sockets.connectionChecker().start(nowMicros(), sequence, target, addresses.resolve(targetAddress));
            } catch (ConfigException e) {
                // The update contains a malformed address, to which no connection can be opened.
                swim.onConnectionChecked(nowMicros(), sequence, ConnectionCheckResult.UNRESPONSIVE);
            }
        }

        @Override
        public void onMemberChanged(GossipUpdate update, MemberState previous) {
            String state = update.state().name().toLowerCase(Locale.ROOT);
            String source = update.reporter().equals(update.name()) ? "" : ", reported by " + update.reporter();
            log.accept("membership: " + update.name() + " is " + state + source);
        }
    }
}
