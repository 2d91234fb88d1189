package mintstair.membership.swim;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.LongPredicate;
import java.util.function.Predicate;

/**
 * The other members as known here. Merges updates by SWIM's precedence rules and queues whatever changes the table for
 * dissemination. Holds at most {@link SwimSettings#maxMembers} members, this one included; further ones are rejected
 * and counted.
 */
final class MemberTable {
    private final SwimSettings settings;
    private final GossipQueue gossip;
    private final PeerSelector selector;
    private final SwimActions actions;
    private final TransitionCounters transitions;
    private final TreeMap<String, Member> members = new TreeMap<>();
    private final Set<Member> suspects = new LinkedHashSet<>();
    /** Dead members that still count as ones that may run. */
    private final Set<Member> countedDead = new LinkedHashSet<>();

    private int otherAlive;
    private long version;
    private long rejectedMembers;

    MemberTable(SwimSettings settings, GossipQueue gossip, Random random, SwimActions actions) {
        this.settings = settings;
        this.gossip = gossip;
        this.actions = actions;
        selector = new PeerSelector(random);
        transitions = new TransitionCounters(settings.periodMicros());
    }

    // ---- merging updates ----

    /** Merges an update on a member other than this one. */
    void merge(long nowMicros, GossipUpdate update) {
        Member member = members.get(update.name());
        if (member == null) {
            add(nowMicros, update);
        } else if (isOutdatedDeath(member, update)) {
            replace(nowMicros, member, suspectFirst(member, update));
        } else if (update.overrides(member.update())) {
            replace(nowMicros, member, update);
        } else if (confirmsSuspicion(member, update)) {
            // Independent evidence is passed on unchanged, so that it shortens the timeout everywhere.
            gossip.add(update);
        }
    }

    /**
     * Whether another member's state has a death that is old there and unknown here: that member was on the far side
     * of a partition, where this whole side is dead. Such a member may refute first.
     */
    private boolean isOutdatedDeath(Member member, GossipUpdate update) {
        return update.overrides(member.update())
                && update.state() == MemberState.DEAD
                && update.ageMicros() > settings.spreadMicros(knownCount())
                && member.isActive();
    }

    private static GossipUpdate suspectFirst(Member member, GossipUpdate death) {
        return new GossipUpdate(
                death.name(), member.address(), death.incarnation(), MemberState.SUSPECT, death.reporter());
    }

    private static boolean confirmsSuspicion(Member member, GossipUpdate update) {
        return member.state() == MemberState.SUSPECT
                && update.state() == MemberState.SUSPECT
                && update.incarnation() == member.update().incarnation()
                && member.suspicion().confirm(update.reporter());
    }

    private void add(long nowMicros, GossipUpdate update) {
        if (update.ageMicros() > sharedRetentionMicros()) {
            return;
        }
        if (members.size() + 1 >= settings.maxMembers()) {
            rejectedMembers++;
            return;
        }
        Member member = new Member(update);
        members.put(update.name(), member);
        selector.memberAdded(update.name());
        enterState(nowMicros, member, null);
    }

    private void replace(long nowMicros, Member member, GossipUpdate update) {
        MemberState previous = member.state();
        transitions.count(nowMicros, member, update);
        if (previous == MemberState.ALIVE) {
            otherAlive--;
        }
        suspects.remove(member);
        countedDead.remove(member);
        member.replaceUpdate(update);
        enterState(nowMicros, member, previous);
    }

    private void enterState(long nowMicros, Member member, MemberState previous) {
        version++;
        GossipUpdate update = member.update();
        if (previous != update.state()) {
            member.stateEntered(nowMicros - update.ageMicros());
        }
        switch (update.state()) {
            case ALIVE -> otherAlive++;
            case SUSPECT -> {
                suspects.add(member);
                member.suspected(nowMicros, new Suspicion(settings, activeCount(), update.reporter()));
            }
            case DEAD -> {
                countedDead.add(member);
                member.deathLearned(nowMicros);
            }
            default -> {
                // A member that left counts nowhere.
            }
        }
        gossip.add(update);
        if (previous != update.state()) {
            actions.memberChanged(update, previous);
        }
    }

    // ---- time ----

    /** Suspects whose time to refute is over. */
    List<Member> overdueSuspects(long nowMicros) {
        List<Member> overdue = new ArrayList<>();
        for (Member suspect : suspects) {
            if (suspect.isSuspicionOver(nowMicros)) {
                overdue.add(suspect);
            }
        }
        return overdue;
    }

    /** Extends all suspicions by a time in which this process stood still, as no suspect could refute meanwhile. */
    void extendSuspicions(long byMicros) {
        suspects.forEach(suspect -> suspect.extendSuspicion(byMicros));
    }

    /**
     * Stops counting dead members that must have noticed by now that they are partitioned, if they run.
     *
     * @param droppable whether to drop a member, given when this process learned of its death
     */
    void dropDead(LongPredicate droppable) {
        countedDead.removeIf(member -> {
            boolean drop = droppable.test(member.deathLearnedMicros());
            if (drop) {
                member.drop();
            }
            return drop;
        });
    }

    /** Forgets members that left or were dropped long ago; one that may still run is kept. */
    void forgetExpired(long nowMicros) {
        if (members.values().removeIf(member -> isExpired(nowMicros, member))) {
            version++;
        }
    }

    private boolean isExpired(long nowMicros, Member member) {
        boolean gone = member.state() == MemberState.LEFT || member.isDropped();
        return gone && nowMicros - member.sinceMicros() > settings.retentionMicros();
    }

    // ---- state for anti-entropy ----

    /**
     * The members that this one passes on. Those that are gone are passed on for half the retention only: members that
     * forget them first would otherwise learn of them again, without end.
     */
    List<Member> shared(long nowMicros) {
        return members.values().stream()
                .filter(member -> member.isActive() || nowMicros - member.sinceMicros() < sharedRetentionMicros())
                .toList();
    }

    private long sharedRetentionMicros() {
        return settings.retentionMicros() / 2;
    }

    // ---- selection ----

    /** The member to probe next, in shuffled rounds; null if there is none. */
    Member nextProbeTarget() {
        String name = selector.nextTarget(members.keySet(), candidate -> active(candidate) != null);
        return name == null ? null : members.get(name);
    }

    /** Up to {@code count} random members with this property. */
    List<Member> random(int count, Predicate<Member> eligible) {
        return selector.randomSubset(members.values(), count, eligible);
    }

    // ---- look-ups ----

    /** The member of this name; null if it is unknown. */
    Member get(String name) {
        return members.get(name);
    }

    /** The member of this name if it is alive or suspect; null otherwise. */
    Member active(String name) {
        Member member = members.get(name);
        return member != null && member.isActive() ? member : null;
    }

    List<MembershipView.Peer> peers() {
        return members.values().stream()
                .map(member -> new MembershipView.Peer(member.update(), member.sinceMicros(), member.isDropped()))
                .toList();
    }

    /** Members that are alive, this one included. */
    int aliveCount() {
        return 1 + otherAlive;
    }

    /** Members that are alive or suspect, this one included. */
    int activeCount() {
        return aliveCount() + suspects.size();
    }

    /** Members that may run, this one included: all but those that left or were dropped. */
    int possiblyRunningCount() {
        return activeCount() + countedDead.size();
    }

    /** All remembered members, this one included. */
    int knownCount() {
        return 1 + members.size();
    }

    /** Grows with each change of any member. */
    long version() {
        return version;
    }

    TransitionCounters transitions() {
        return transitions;
    }

    /** Members that were rejected because the table was full. */
    long rejectedMembers() {
        return rejectedMembers;
    }
}
