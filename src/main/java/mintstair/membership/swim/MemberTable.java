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
 * The other members as seen by this one. Merges updates by SWIM's precedence rules and queues those that change the
 * table for dissemination. Holds at most {@link SwimSettings#maxMembers} members, including this one; further members
 * are rejected and counted.
 */
final class MemberTable {
    private final SwimSettings settings;
    private final GossipQueue gossip;
    private final PeerSelector selector;
    private final SwimActions actions;
    private final TransitionCounters transitions;
    private final TreeMap<String, Member> members = new TreeMap<>();
    private final Set<Member> suspects = new LinkedHashSet<>();
    /** Dead members that are still counted as possibly running. */
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

    /** Merges an update about a member other than this one. */
    void merge(long nowMicros, GossipUpdate update) {
        Member member = members.get(update.name());
        if (member == null) {
            add(nowMicros, update);
        } else if (isOutdatedDeath(member, update)) {
            replace(nowMicros, member, asSuspicion(member, update));
        } else if (update.overrides(member.update())) {
            replace(nowMicros, member, update);
        } else if (confirmsSuspicion(member, update)) {
            // A confirmation is forwarded unchanged, so that it shortens the timeout on all members.
            gossip.add(update);
        }
    }

    /**
     * Returns whether an update reports a death that was declared long ago and is new to this member. The update then
     * originates from the far side of a partition, where all members of this side are considered dead. The member
     * concerned becomes suspect instead, so that it can refute first.
     */
    private boolean isOutdatedDeath(Member member, GossipUpdate update) {
        return update.overrides(member.update())
                && update.state() == MemberState.DEAD
                && update.ageMicros() > settings.disseminationMicros(knownCount())
                && member.isActive();
    }

    private static GossipUpdate asSuspicion(Member member, GossipUpdate death) {
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
        if (update.ageMicros() > syncRetentionMicros()) {
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
            member.setSinceMicros(nowMicros - update.ageMicros());
        }
        switch (update.state()) {
            case ALIVE -> otherAlive++;
            case SUSPECT -> {
                suspects.add(member);
                member.startSuspicion(nowMicros, new Suspicion(settings, activeCount(), update.reporter()));
            }
            case DEAD -> {
                countedDead.add(member);
                member.recordDeath(nowMicros);
            }
            default -> {
                // A member that has left is in none of the counts.
            }
        }
        gossip.add(update);
        if (previous != update.state()) {
            actions.onMemberChanged(update, previous);
        }
    }

    // ---- time ----

    /** Returns the suspects whose suspicion has timed out. */
    List<Member> expiredSuspects(long nowMicros) {
        List<Member> expired = new ArrayList<>();
        for (Member suspect : suspects) {
            if (suspect.isSuspicionExpired(nowMicros)) {
                expired.add(suspect);
            }
        }
        return expired;
    }

    /** Extends all suspicions by the time of a stall of this process, as no refutation could be received during it. */
    void extendSuspicions(long byMicros) {
        suspects.forEach(suspect -> suspect.extendSuspicion(byMicros));
    }

    /**
     * Drops dead members that must have detected by now that they are partitioned if they still run: they are no longer
     * counted as possibly running.
     *
     * @param droppable tests whether to drop a member, given the time at which this process learned of its death
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

    /** Removes members that left or were dropped and whose retention has expired; possibly running ones are kept. */
    void forgetExpired(long nowMicros) {
        if (members.values().removeIf(member -> isExpired(nowMicros, member))) {
            version++;
        }
    }

    private boolean isExpired(long nowMicros, Member member) {
        boolean isRemovable = member.state() == MemberState.LEFT || member.isDropped();
        return isRemovable && nowMicros - member.sinceMicros() > settings.retentionMicros();
    }

    // ---- state for anti-entropy ----

    /**
     * Returns the members whose state is sent in anti-entropy. Members that are dead or left are included for only half
     * of the retention; otherwise a member that has removed them would learn of them again from one that has not, and
     * they would never be forgotten.
     */
    List<Member> membersToSync(long nowMicros) {
        return members.values().stream()
                .filter(member -> member.isActive() || nowMicros - member.sinceMicros() < syncRetentionMicros())
                .toList();
    }

    private long syncRetentionMicros() {
        return settings.retentionMicros() / 2;
    }

    // ---- selection ----

    /** Returns the member to probe next, in shuffled rounds; null if there is none. */
    Member nextProbeTarget() {
        String name = selector.nextTarget(members.keySet(), candidate -> getActive(candidate) != null);
        return name == null ? null : members.get(name);
    }

    /** Returns up to {@code count} random eligible members. */
    List<Member> randomMembers(int count, Predicate<Member> eligible) {
        return selector.randomSubset(members.values(), count, eligible);
    }

    // ---- look-ups ----

    /** Returns the member of this name; null if it is unknown. */
    Member get(String name) {
        return members.get(name);
    }

    /** Returns the member of this name if it is alive or suspect; null otherwise. */
    Member getActive(String name) {
        Member member = members.get(name);
        return member != null && member.isActive() ? member : null;
    }

    List<MembershipView.Peer> peers() {
        return members.values().stream()
                .map(member -> new MembershipView.Peer(member.update(), member.sinceMicros(), member.isDropped()))
                .toList();
    }

    /** Returns the number of members that are alive, including this one. */
    int aliveCount() {
        return 1 + otherAlive;
    }

    /** Returns the number of members that are alive or suspect, including this one. */
    int activeCount() {
        return aliveCount() + suspects.size();
    }

    /** Returns the number of members that may be running, including this one: all but those left or dropped. */
    int possiblyRunningCount() {
        return activeCount() + countedDead.size();
    }

    /** Returns the number of all members in the table, plus this one. */
    int knownCount() {
        return 1 + members.size();
    }

    /** Returns a number that grows with each change of any member. */
    long version() {
        return version;
    }

    TransitionCounters transitions() {
        return transitions;
    }

    /** Returns the number of updates about unknown members that were rejected because the table was full. */
    long rejectedMembers() {
        return rejectedMembers;
    }
}
