package mintstair.membership.swim;

import java.util.List;
import java.util.Random;

/**
 * The SWIM protocol of one member as a state machine. The driver calls it as time passes ({@link #tick}), with received
 * messages ({@link #onMessage}) and with results of connection checks ({@link #onConnectionChecked}). The protocol
 * calls the driver through {@link SwimActions}.
 *
 * <p>Deterministic for a given seed. Not thread-safe: all calls must be made on one thread. The state is bounded by
 * {@link SwimSettings#maxMembers}. docs/design-membership.md describes the protocol.
 */
public final class Swim {
    private final SwimSettings settings;
    private final GossipQueue gossip = new GossipQueue();
    private final LocalMember local;
    private final MemberTable members;
    private final MessageSender sender;
    private final FailureDetector failureDetector;
    private final AntiEntropy antiEntropy;
    private final ClusterSizeEstimator sizeEstimator;
    private long lastTickMicros;
    private long receivedMessages;
    private long stalls;
    private long nameConflicts;

    /**
     * Creates a member that has not discovered any other yet.
     *
     * @param nowMicros the current time in Unix microseconds, which is also the first incarnation
     * @param seed seed of all random decisions
     * @param name the member's name, unique in the fleet
     * @param address address at which it receives messages, as {@code host:port}
     * @param seeds addresses to contact while no other member is alive; the member's own address among them is ignored
     * @param settings the constants of the protocol
     * @param actions performs the protocol's actions
     */
    public Swim(
            long nowMicros,
            long seed,
            String name,
            String address,
            List<String> seeds,
            SwimSettings settings,
            SwimActions actions) {
        this.settings = settings;
        Random random = new Random(seed);
        local = new LocalMember(name, address, nowMicros, new LocalHealth(settings.maxHealthMultiplier()));
        members = new MemberTable(settings, gossip, random, actions);
        sender = new MessageSender(settings, local, members, gossip, actions);
        sizeEstimator = new ClusterSizeEstimator(settings.configuredSize(), nowMicros);
        sizeEstimator.markUnsettled(nowMicros, settings.disseminationMicros(settings.configuredSize()));
        // Both constructors draw their start times from the same random sequence, so their order must not change.
        failureDetector = new FailureDetector(nowMicros, settings, local, members, sender, random, actions);
        antiEntropy = new AntiEntropy(nowMicros, settings, seeds, local, members, sender, random);
        lastTickMicros = nowMicros;
        gossip.add(local.update());
    }

    // ---- time ----

    /** Returns when {@link #tick} is to be called next, in microseconds. */
    public long nextTickMicros() {
        long nextMicros = Math.min(failureDetector.nextTickMicros(), antiEntropy.nextTickMicros());
        return Math.min(nextMicros, lastTickMicros + maxTickIntervalMicros());
    }

    /** Returns the maximum interval between two ticks; a tick that is much later shows a stall of the process. */
    private long maxTickIntervalMicros() {
        return settings.periodMicros() / 2;
    }

    /** Performs all work that is due at the given time. */
    public void tick(long nowMicros) {
        if (local.hasLeft()) {
            return;
        }
        detectStall(nowMicros);
        failureDetector.tick(nowMicros);
        antiEntropy.tick(nowMicros);
        failureDetector.expireSuspicions(nowMicros);
        updateSizeEstimate(nowMicros);
    }

    /**
     * Detects that the process has stalled. During a stall it received no answers and no refutations, so the probes in
     * flight are discarded and all suspicions extended by the time of the stall.
     */
    private void detectStall(long nowMicros) {
        long lateMicros = nowMicros - lastTickMicros - maxTickIntervalMicros();
        lastTickMicros = nowMicros;
        if (lateMicros <= settings.periodMicros()) {
            return;
        }
        stalls++;
        failureDetector.onStall();
        members.extendSuspicions(lateMicros);
        sizeEstimator.markUnsettled(nowMicros, disseminationMicros());
    }

    // ---- messages ----

    /** Handles a received message. */
    public void onMessage(long nowMicros, Message message) {
        GossipUpdate from = message.sender();
        if (local.hasLeft() || local.isSameProcess(from)) {
            return;
        }
        long versionBefore = version();
        receivedMessages++;
        merge(nowMicros, from);
        message.updates().forEach(update -> merge(nowMicros, update));
        message.body().accept(new Receiver(nowMicros, from));
        if (version() != versionBefore) {
            updateSizeEstimate(nowMicros);
        }
    }

    /** Dispatches one message to the component that handles its type. */
    private final class Receiver implements Message.Visitor {
        private final long nowMicros;
        private final GossipUpdate from;

        Receiver(long nowMicros, GossipUpdate from) {
            this.nowMicros = nowMicros;
            this.from = from;
        }

        @Override
        public void visit(Message.Ping ping) {
            failureDetector.onPing(from, ping);
        }

        @Override
        public void visit(Message.Ack ack) {
            failureDetector.onAck(ack);
        }

        @Override
        public void visit(Message.Nack nack) {
            failureDetector.onNack(nack);
        }

        @Override
        public void visit(Message.PingRequest request) {
            failureDetector.onPingRequest(nowMicros, from, request);
        }

        @Override
        public void visit(Message.CompareDigests compare) {
            antiEntropy.onCompareDigests(nowMicros, from, compare);
        }

        @Override
        public void visit(Message.FetchUpdates fetch) {
            antiEntropy.sendState(nowMicros, from);
        }

        @Override
        public void visit(Message.GossipOnly gossipOnly) {
            // The updates have been merged already.
        }
    }

    /**
     * Handles the result of a connection check that {@link SwimActions#checkConnection} requested.
     *
     * @param sequence the sequence number of that request
     */
    public void onConnectionChecked(long nowMicros, long sequence, ConnectionCheckResult result) {
        if (!local.hasLeft() && failureDetector.onConnectionChecked(nowMicros, sequence, result)) {
            updateSizeEstimate(nowMicros);
        }
    }

    private void merge(long nowMicros, GossipUpdate update) {
        if (update.name().equals(local.name())) {
            mergeOwn(nowMicros, update);
        } else {
            members.merge(nowMicros, update);
        }
    }

    /**
     * Refutes an update that reports a wrong state of this member. A newer process with the same name at another
     * address is a configuration error: the two would refute each other endlessly. In that case this member marks
     * itself as unsettled instead, so that it uses no share of the common limits.
     */
    private void mergeOwn(long nowMicros, GossipUpdate update) {
        if (local.agreesWith(update)) {
            return;
        }
        if (!update.address().equals(local.address())) {
            nameConflicts++;
            sizeEstimator.markUnsettled(nowMicros, disseminationMicros());
            return;
        }
        local.refute(update.incarnation());
        gossip.add(local.update());
    }

    /** Announces to some other members that this one shuts down. Later ticks, messages and results have no effect. */
    public void leave() {
        if (local.hasLeft()) {
            return;
        }
        local.leave();
        gossip.add(local.update());
        int receivers = settings.maxTransmissions(members.activeCount());
        for (Member receiver : members.randomMembers(receivers, Member::isAlive)) {
            sender.send(receiver.address(), new Message.GossipOnly());
        }
    }

    // ---- results ----

    private long disseminationMicros() {
        return settings.disseminationMicros(Math.max(settings.configuredSize(), members.knownCount()));
    }

    private void updateSizeEstimate(long nowMicros) {
        long disseminationMicros = disseminationMicros();
        members.dropDead(deadSinceMicros -> sizeEstimator.canDrop(nowMicros, deadSinceMicros, disseminationMicros));
        sizeEstimator.update(nowMicros, members.aliveCount(), members.possiblyRunningCount(), disseminationMicros);
    }

    /** Returns the size of the fleet as derived from the current view. */
    public ClusterSizeEstimate sizeEstimate() {
        return sizeEstimator.current();
    }

    /** Returns a number that grows with each change of a member's state. */
    public long version() {
        return members.version() + local.refutations();
    }

    /** Returns the current view. */
    public MembershipView view() {
        return new MembershipView(version(), local.update(), members.peers(), sizeEstimate());
    }

    /** Returns the counters since the start. */
    public SwimStatistics statistics() {
        TransitionCounters transitions = members.transitions();
        return new SwimStatistics(
                sender.sentMessages(),
                receivedMessages,
                failureDetector.raisedSuspicions(),
                transitions.refutedSuspicions(),
                transitions.falseDeaths(),
                transitions.deaths(),
                transitions.suspicionMicros(),
                local.refutations(),
                stalls,
                failureDetector.rejectedRequests() + members.rejectedMembers(),
                nameConflicts);
    }
}
