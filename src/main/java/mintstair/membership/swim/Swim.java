package mintstair.membership.swim;

import java.util.List;
import java.util.Random;

/**
 * One member of the fleet: the SWIM protocol as a state machine. The driver reports time ({@link #tick}), messages
 * ({@link #received}) and results of connections ({@link #connectionChecked}); it is called back by
 * {@link SwimActions}.
 *
 * <p>Deterministic for a given seed. Not thread-safe: all calls come from one thread. The state is bounded by
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
     * Starts a member that knows no other one yet.
     *
     * @param nowMicros the time, which is also the first incarnation: Unix microseconds
     * @param seed seed of all random decisions
     * @param name the member's name, unique in the fleet
     * @param address where it receives messages, as host:port
     * @param seeds addresses to contact first; the member's own among them is ignored
     * @param settings the constants of the protocol
     * @param actions the driver
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
        sizeEstimator.unsettle(nowMicros, settings.spreadMicros(settings.configuredSize()));
        // Both draw their start time from the one random sequence, in this order.
        failureDetector = new FailureDetector(nowMicros, settings, local, members, sender, random, actions);
        antiEntropy = new AntiEntropy(nowMicros, settings, seeds, local, members, sender, random);
        lastTickMicros = nowMicros;
        gossip.add(local.update());
    }

    // ---- time ----

    /** When {@link #tick} is to be called next, in microseconds. */
    public long nextTickMicros() {
        long nextMicros = Math.min(failureDetector.nextTickMicros(), antiEntropy.nextTickMicros());
        return Math.min(nextMicros, lastTickMicros + maxTickIntervalMicros());
    }

    /** Ticks come at least this often, so that a late one shows that the process stood still. */
    private long maxTickIntervalMicros() {
        return settings.periodMicros() / 2;
    }

    /** Does whatever is due at this time. */
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

    /** A process that stood still received no answers and no refutations meanwhile: its deadlines move by that time. */
    private void detectStall(long nowMicros) {
        long lateMicros = nowMicros - lastTickMicros - maxTickIntervalMicros();
        lastTickMicros = nowMicros;
        if (lateMicros <= settings.periodMicros()) {
            return;
        }
        stalls++;
        failureDetector.stalled();
        members.extendSuspicions(lateMicros);
        sizeEstimator.unsettle(nowMicros, spreadMicros());
    }

    // ---- messages ----

    /** Handles a message that has arrived. */
    public void received(long nowMicros, Message message) {
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

    /** Passes one message to the part that handles its type. */
    private final class Receiver implements Message.Visitor {
        private final long nowMicros;
        private final GossipUpdate from;

        Receiver(long nowMicros, GossipUpdate from) {
            this.nowMicros = nowMicros;
            this.from = from;
        }

        @Override
        public void visit(Message.Ping ping) {
            failureDetector.pingReceived(from, ping);
        }

        @Override
        public void visit(Message.Ack ack) {
            failureDetector.ackReceived(ack);
        }

        @Override
        public void visit(Message.Nack nack) {
            failureDetector.nackReceived(nack);
        }

        @Override
        public void visit(Message.PingRequest request) {
            failureDetector.pingRequestReceived(nowMicros, from, request);
        }

        @Override
        public void visit(Message.CompareDigests compare) {
            antiEntropy.digestReceived(nowMicros, from, compare);
        }

        @Override
        public void visit(Message.FetchUpdates fetch) {
            antiEntropy.sendState(nowMicros, from);
        }

        @Override
        public void visit(Message.GossipOnly gossipOnly) {
            // The updates are all there is.
        }
    }

    /**
     * Handles the result of a connection that {@link SwimActions#checkConnection} requested.
     *
     * @param sequence the number that came with the request
     */
    public void connectionChecked(long nowMicros, long sequence, ConnectionCheckResult result) {
        if (!local.hasLeft() && failureDetector.connectionChecked(nowMicros, sequence, result)) {
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
     * Refutes a wrong update on this member. A newer process of the same name at another address is an operator's
     * mistake: refuting it would never end, so this member yields and takes no share of the common limits.
     */
    private void mergeOwn(long nowMicros, GossipUpdate update) {
        if (local.agreesWith(update)) {
            return;
        }
        if (!update.address().equals(local.address())) {
            nameConflicts++;
            sizeEstimator.unsettle(nowMicros, spreadMicros());
            return;
        }
        local.refute(update.incarnation());
        gossip.add(local.update());
    }

    /** Announces to some other members that this one shuts down. Afterwards all calls have no effect. */
    public void leave() {
        if (local.hasLeft()) {
            return;
        }
        local.leave();
        gossip.add(local.update());
        int receivers = settings.maxTransmissions(members.activeCount());
        for (Member receiver : members.random(receivers, Member::isAlive)) {
            sender.send(receiver.address(), new Message.GossipOnly());
        }
    }

    // ---- results ----

    private long spreadMicros() {
        return settings.spreadMicros(Math.max(settings.configuredSize(), members.knownCount()));
    }

    private void updateSizeEstimate(long nowMicros) {
        long spreadMicros = spreadMicros();
        members.dropDead(deadSinceMicros -> sizeEstimator.mayDrop(nowMicros, deadSinceMicros, spreadMicros));
        sizeEstimator.update(nowMicros, members.aliveCount(), members.possiblyRunningCount(), spreadMicros);
    }

    /** What the current view says about the size of the fleet. */
    public ClusterSizeEstimate sizeEstimate() {
        return sizeEstimator.current();
    }

    /** Grows with each change of the view. */
    public long version() {
        return members.version() + local.refutations();
    }

    /** The current view. */
    public MembershipView view() {
        return new MembershipView(version(), local.update(), members.peers(), sizeEstimate());
    }

    /** Counters since the start. */
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
