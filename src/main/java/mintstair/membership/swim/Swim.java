package mintstair.membership.swim;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import mintstair.membership.swim.Message.Ack;
import mintstair.membership.swim.Message.Body;
import mintstair.membership.swim.Message.CompareDigests;
import mintstair.membership.swim.Message.FetchUpdates;
import mintstair.membership.swim.Message.GossipOnly;
import mintstair.membership.swim.Message.Nack;
import mintstair.membership.swim.Message.Ping;
import mintstair.membership.swim.Message.PingRequest;

/**
 * One member of the fleet. It is told of time and messages and says what to send; what it knows it keeps in a table of members that
 * {@link SwimSettings#mostMembers} bounds. docs/design-membership.md describes the protocol.
 */
public final class Swim {
    /** What is to be done, in order. */
    public interface Actions {
        void send(String address, Message message);

        /** Tries a connection to this address in passing, where a datagram got no answer; {@link Swim#checked} takes what came of it. */
        void check(long number, String target, String address);

        /** A member's state became another; {@code known} is what is known now. */
        void changed(GossipUpdate known, MemberState before);
    }

    /** What came of a connection to a member's address. */
    public enum Check {
        /** The member itself answered. */
        ANSWERED,
        /** It was turned away, closed without an answer, or another process answered. */
        CLOSED,
        /** Nothing came in time. */
        SILENT
    }

    /** Bytes of news that ride on a message, and of a page of them: both fit a datagram that no link cuts into pieces. */
    static final int RIDERS = 1_000;

    static final int PAGE = 1_200;
    /** At most so many pings for others are out at a time; one more is not sent on, and the asker gets no nack. */
    private static final int MAX_RELAYED_PROBES = 1_024;
    /** Whole views go out no oftener than this part of the time between comparisons. */
    private static final int SHARE_OF_COMPARES = 8;

    /** A ping for another: whom to tell, under which number, and by when a nack is due. */
    private record RelayedProbe(String askerAddress, long askerSeq, long due) {}

    private final SwimSettings settings;
    private final Actions actions;
    private final Random random;
    private final List<String> seeds;
    private final Gossip gossip = new Gossip();
    private final MemberTable members;
    private final ClusterSizeEstimate standing;
    private final ProbeOrder order;
    private final Map<Long, RelayedProbe> relayedProbes = new HashMap<>();
    private GossipUpdate self;
    private Probe probe;
    private long seq;
    private long incarnations;
    private int slow;
    private long nextProbe;
    private long nextCompare;
    private long lastPage;
    private long lastTick;
    private boolean left;
    private long sent;
    private long heard;
    private long raised;
    private long refutations;
    private long stalls;
    private long turnedAway;
    private long namesakes;

    /** @param seeds addresses to ask first; its own among them does no harm */
    public Swim(
            long now,
            long seed,
            String name,
            String address,
            List<String> seeds,
            SwimSettings settings,
            Actions actions) {
        this.settings = settings;
        this.actions = actions;
        this.seeds = List.copyOf(seeds);
        random = new Random(seed);
        order = new ProbeOrder(random);
        members = new MemberTable(settings, gossip, order, actions);
        self = new GossipUpdate(name, address, now, MemberState.ALIVE, name);
        standing = new ClusterSizeEstimate(settings.told(), now);
        standing.unsure(now, settings.spread(settings.told()));
        // Those that start together do not all ask at once.
        nextProbe = now + (long) (random.nextDouble() * settings.period());
        nextCompare = now + (long) (random.nextDouble() * settings.period());
        lastTick = now;
        lastPage = now - settings.compareEvery();
        gossip.add(self);
    }

    // ---- time ----

    /** When {@link #tick} is next to be called. */
    public long nextTick() {
        long at = Math.min(nextProbe, nextCompare);
        if (probe != null && !probe.answered && !probe.helped) {
            at = Math.min(at, probe.begun + scaled(settings.answerWithin()));
        }
        return Math.min(at, lastTick + settings.period() / 2);
    }

    /** Lets the time be {@code now}. */
    public void tick(long now) {
        if (left) {
            return;
        }
        stoodStill(now);
        if (probe != null && !probe.answered && !probe.helped && now - probe.begun >= scaled(settings.answerWithin())) {
            askOthers(probe);
        }
        nackLate(now);
        if (now >= nextProbe) {
            endProbe(now);
            nextProbe = now + scaled(settings.period());
            beginProbe(now);
        }
        if (now >= nextCompare) {
            compare(now);
        }
        expire(now);
        assess(now);
    }

    /** Whoever stood still heard nothing in that time and let nobody refute: its deadlines move by as much. */
    private void stoodStill(long now) {
        long late = now - lastTick - settings.period() / 2;
        lastTick = now;
        if (late <= settings.period()) {
            return;
        }
        stalls++;
        probe = null;
        relayedProbes.clear();
        members.extend(late);
        standing.unsure(now, spread());
    }

    private long scaled(long time) {
        return time * (1 + slow);
    }

    private void beginProbe(long now) {
        String target = order.next(members.names(), name -> members.in(name) != null);
        if (target == null) {
            return;
        }
        probe = new Probe(seq++, target, now);
        ping(members.in(target), probe.seq);
    }

    /** A suspect is told first of all that it is one, so that it can refute. */
    private void ping(Member m, long number) {
        if (m.state() == MemberState.SUSPECT) {
            send(m.known.address(), new Ping(number, m.known.name()), m.known);
        } else {
            send(m.known.address(), new Ping(number, m.known.name()), null);
        }
    }

    private void askOthers(Probe p) {
        Member target = members.in(p.target);
        p.helped = true;
        if (target == null) {
            return;
        }
        for (String helper : order.few(
                members.names(),
                settings.helpers(),
                name -> !name.equals(p.target) && members.is(name, MemberState.ALIVE))) {
            send(members.in(helper).known.address(), new PingRequest(p.seq, p.target, target.known.address()), null);
        }
        actions.check(p.seq, p.target, target.known.address());
    }

    /** The end of a period: without an answer the member is suspect; without nacks either this one may itself be slow. */
    private void endProbe(long now) {
        if (probe == null) {
            return;
        }
        Member m = members.in(probe.target);
        if (probe.answered) {
            slow = Math.max(0, slow - 1);
        } else if (m != null) {
            if (probe.nacks == 0 && !probe.closed) {
                slow = Math.min(settings.slowMost() - 1, slow + 1);
            }
            if (m.state() == MemberState.ALIVE) {
                raised++;
            }
            take(
                    now,
                    new GossipUpdate(
                            m.known.name(),
                            m.known.address(),
                            m.known.incarnation(),
                            MemberState.SUSPECT,
                            self.name()));
            m.closedAt = probe.closed ? Math.min(m.closedAt, now + settings.closedSuspicion()) : m.closedAt;
        }
        probe = null;
    }

    private void nackLate(long now) {
        relayedProbes.values().removeIf(e -> {
            boolean late = now >= e.due;
            if (late) {
                send(e.askerAddress, new Nack(e.askerSeq), null);
            }
            return late;
        });
    }

    private void expire(long now) {
        for (Member m : members.due(now)) {
            take(
                    now,
                    new GossipUpdate(
                            m.known.name(), m.known.address(), m.known.incarnation(), MemberState.DEAD, self.name()));
        }
    }

    // ---- agreement ----

    private void compare(long now) {
        nextCompare = now + (long) (settings.compareEvery() * (0.75 + 0.5 * random.nextDouble()));
        members.forget(now);
        List<String> with = order.few(members.names(), 1, name -> members.is(name, MemberState.ALIVE));
        if (with.isEmpty()) {
            // Nobody there yet, or all are gone: the seeds, until one answers.
            nextCompare = now + settings.period();
            seeds.stream()
                    .filter(s -> !s.equals(self.address()))
                    .forEach(s -> send(s, new CompareDigests(digest(now)), null));
        } else {
            send(members.any(with.get(0)).known.address(), new CompareDigests(digest(now)), null);
        }
        // Of two halves that took each other for dead somebody has to ask across; all members together ask one a period
        // or so.
        for (String dead : order.few(members.names(), 1, name -> members.is(name, MemberState.DEAD))) {
            send(members.any(dead).known.address(), new CompareDigests(digest(now)), members.any(dead).known);
        }
    }

    private long digest(long now) {
        return self.hash() + members.digest(now);
    }

    /** All that is known, in pages; where many ask at once most go without, and ask again. */
    private void tellAll(long now, String address) {
        if (now - lastPage < settings.compareEvery() / SHARE_OF_COMPARES) {
            return;
        }
        lastPage = now;
        members.pages(now).forEach(page -> deliver(address, new GossipOnly(), page));
    }

    // ---- messages ----

    /** A message came; from {@code address}, which is where it says to answer. */
    public void received(long now, Message message) {
        long before = version();
        if (left
                || (message.sender().name().equals(self.name())
                        && message.sender().address().equals(self.address()))) {
            return;
        }
        heard++;
        take(now, message.sender());
        message.updates().forEach(r -> take(now, r));
        String from = message.sender().address();
        Body body = message.body();
        if (body instanceof Ping ping) {
            if (ping.target().equals(self.name())) {
                send(from, new Ack(ping.seq()), suspicionOf(message.sender().name()));
            }
        } else if (body instanceof Ack ack) {
            acked(ack.seq());
        } else if (body instanceof Nack nack) {
            if (probe != null && probe.seq == nack.seq()) {
                probe.nacks++;
            }
        } else if (body instanceof PingRequest ask) {
            relayedProbe(now, from, ask);
        } else if (body instanceof CompareDigests compare) {
            if (compare.digest() != digest(now)) {
                send(from, new FetchUpdates(), null);
                tellAll(now, from);
            }
        } else if (body instanceof FetchUpdates) {
            tellAll(now, from);
        }
        if (version() != before) {
            assess(now);
        }
    }

    /** What came of a connection that was asked for. */
    public void checked(long now, long number, Check result) {
        if (left || probe == null || probe.seq != number) {
            return;
        }
        probe.answered |= result == Check.ANSWERED;
        if (result == Check.CLOSED && !probe.answered) {
            // Nothing more will come of this ping.
            probe.closed = true;
            endProbe(now);
            assess(now);
        }
    }

    private GossipUpdate suspicionOf(String name) {
        Member m = members.any(name);
        return m != null && m.state() != MemberState.ALIVE ? m.known : null;
    }

    private void relayedProbe(long now, String from, PingRequest ask) {
        if (relayedProbes.size() >= MAX_RELAYED_PROBES) {
            turnedAway++;
            return;
        }
        long number = seq++;
        relayedProbes.put(number, new RelayedProbe(from, ask.seq(), now + settings.answerWithin()));
        send(ask.address(), new Ping(number, ask.target()), null);
    }

    private void acked(long number) {
        RelayedProbe relayedProbe = relayedProbes.remove(number);
        if (relayedProbe != null) {
            send(relayedProbe.askerAddress, new Ack(relayedProbe.askerSeq), null);
        } else if (probe != null && probe.seq == number) {
            probe.answered = true;
        }
    }

    private void take(long now, GossipUpdate r) {
        if (r.name().equals(self.name())) {
            ofSelf(now, r);
        } else {
            members.take(now, r);
        }
    }

    /**
     * What is told of this member itself and is not so is refuted; an old process of the same name was another one. A newer one at
     * another address is a mistake of whoever named them, and would be refuted without end: this one yields and takes no part.
     */
    private void ofSelf(long now, GossipUpdate r) {
        boolean mine = r.state() == MemberState.ALIVE && r.address().equals(self.address());
        if (r.incarnation() < self.incarnation() || (mine && r.incarnation() == self.incarnation())) {
            return;
        }
        if (!r.address().equals(self.address())) {
            namesakes++;
            standing.unsure(now, spread());
            return;
        }
        refutations++;
        slow = Math.min(settings.slowMost() - 1, slow + 1);
        self = new GossipUpdate(self.name(), self.address(), r.incarnation() + 1, MemberState.ALIVE, self.name());
        incarnations++;
        gossip.add(self);
    }

    private void send(String address, Body body, GossipUpdate first) {
        List<GossipUpdate> riders = gossip.take(RIDERS, settings.tellings(members.size()));
        if (first != null) {
            riders.add(0, first);
        }
        deliver(address, body, riders);
    }

    private void deliver(String address, Body body, List<GossipUpdate> updates) {
        sent++;
        actions.send(address, new Message(self, body, updates));
    }

    // ---- what it comes to ----

    /** Tells a few others that this member ends; nothing is sent or taken in after it. */
    public void leave() {
        if (left) {
            return;
        }
        self = new GossipUpdate(self.name(), self.address(), self.incarnation(), MemberState.LEFT, self.name());
        gossip.add(self);
        for (String name :
                order.few(members.names(), settings.tellings(members.size()), n -> members.is(n, MemberState.ALIVE))) {
            send(members.any(name).known.address(), new GossipOnly(), null);
        }
        left = true;
    }

    private long spread() {
        return settings.spread(Math.max(settings.told(), members.known()));
    }

    private void assess(long now) {
        members.drop(now, standing, spread());
        standing.assess(now, members.alive(), members.may(), spread());
    }

    public ClusterSizeEstimate.Standing standing() {
        return standing.newest();
    }

    /** Goes up with each change of what is known. */
    public long version() {
        return members.version() + incarnations;
    }

    public View view() {
        return new View(version(), self, members.seen(), standing());
    }

    public View.Tally tally() {
        return new View.Tally(
                sent,
                heard,
                raised,
                members.refuted,
                members.falseDeaths,
                members.deaths,
                members.untilDeaths,
                refutations,
                stalls,
                turnedAway + members.turnedAway,
                namesakes);
    }
}
