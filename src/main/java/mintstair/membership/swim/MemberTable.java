package mintstair.membership.swim;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;

/**
 * The other members as known here: takes in what is told of them, and passes on what is new. Bounded by
 * {@link SwimSettings#mostMembers}: one more is not taken in, and counted.
 */
final class MemberTable {
    private final SwimSettings settings;
    private final Gossip gossip;
    private final ProbeOrder order;
    private final Swim.Actions actions;
    private final TreeMap<String, Member> members = new TreeMap<>();
    private final Set<Member> suspects = new LinkedHashSet<>();
    /** Dead ones that still count. */
    private final Set<Member> silent = new LinkedHashSet<>();

    private int alive;
    private long version;
    long refuted;
    long falseDeaths;
    long deaths;
    long untilDeaths;
    long turnedAway;

    MemberTable(SwimSettings settings, Gossip gossip, ProbeOrder order, Swim.Actions actions) {
        this.settings = settings;
        this.gossip = gossip;
        this.order = order;
        this.actions = actions;
    }

    /** Takes in what is told of a member that is not this one. */
    void take(long now, GossipUpdate r) {
        Member m = members.get(r.name());
        if (m == null) {
            add(now, r);
        } else if (r.overrides(m.known)) {
            replace(
                    now,
                    m,
                    stale(m, r)
                            ? new GossipUpdate(
                                    r.name(), m.known.address(), r.incarnation(), MemberState.SUSPECT, r.by())
                            : r);
        } else if (m.state() == MemberState.SUSPECT
                && r.state() == MemberState.SUSPECT
                && r.incarnation() == m.known.incarnation()
                && m.accusers.size() <= settings.confirmations()
                && m.accusers.add(r.by())) {
            // Another's own evidence is passed on as it is, so that it counts everywhere.
            gossip.add(r);
        }
    }

    /**
     * Another's view tells of a death that is old there and news here: it was on the far side of a cut, and all of this side are dead to
     * it. Such a one may refute first.
     */
    private boolean stale(Member m, GossipUpdate r) {
        return r.state() == MemberState.DEAD && r.age() > settings.spread(known()) && isIn(m);
    }

    private void add(long now, GossipUpdate r) {
        if (r.age() > settings.kept() / 2) {
            return;
        }
        if (members.size() + 1 >= settings.mostMembers()) {
            turnedAway++;
            return;
        }
        Member m = new Member(r, now);
        members.put(r.name(), m);
        order.added(r.name());
        settle(now, m, null);
    }

    private void replace(long now, Member m, GossipUpdate r) {
        MemberState before = m.state();
        if (r.state() == MemberState.ALIVE) {
            refuted += before == MemberState.SUSPECT ? 1 : 0;
            // A new process has a start of its own; one that lived goes on from the incarnation that was told of it.
            falseDeaths +=
                    before == MemberState.DEAD && r.incarnation() - m.known.incarnation() < settings.period() ? 1 : 0;
        }
        if (before == MemberState.SUSPECT && r.state() == MemberState.DEAD) {
            deaths++;
            untilDeaths += now - m.since;
        }
        alive -= before == MemberState.ALIVE ? 1 : 0;
        suspects.remove(m);
        silent.remove(m);
        m.known = r;
        settle(now, m, before);
    }

    private void settle(long now, Member m, MemberState before) {
        version++;
        GossipUpdate r = m.known;
        if (before != r.state()) {
            m.since = now - r.age();
        }
        m.dropped = false;
        switch (r.state()) {
            case ALIVE -> alive++;
            case SUSPECT -> {
                suspects.add(m);
                m.suspected(now, settings, size());
            }
            case DEAD -> {
                silent.add(m);
                m.silentSince = now;
            }
            default -> {}
        }
        gossip.add(r);
        if (before != r.state()) {
            actions.changed(r, before);
        }
    }

    /** A suspect or a living member by this name. */
    Member in(String name) {
        Member m = members.get(name);
        return isIn(m) ? m : null;
    }

    Member any(String name) {
        return members.get(name);
    }

    static boolean isIn(Member m) {
        return m != null && (m.state() == MemberState.ALIVE || m.state() == MemberState.SUSPECT);
    }

    boolean is(String name, MemberState state) {
        Member m = members.get(name);
        return m != null && m.state() == state;
    }

    Collection<String> names() {
        return members.keySet();
    }

    /** Suspects whose time to refute is over. */
    List<Member> due(long now) {
        List<Member> due = new ArrayList<>();
        for (Member m : suspects) {
            if (now >= m.deadAt(settings.confirmations())) {
                due.add(m);
            }
        }
        return due;
    }

    /** This member stood still: whom it suspects could not refute in that time. */
    void extend(long by) {
        for (Member m : suspects) {
            m.since += by;
            m.closedAt = Long.MAX_VALUE;
        }
    }

    /** No longer counts those that must have noticed by now that they are cut off, if they run. */
    void drop(long now, ClusterSizeEstimate standing, long spread) {
        silent.removeIf(m -> m.dropped = standing.drops(now, m.silentSince, spread));
    }

    /** Those that left or were dropped long ago; one that may still run is not forgotten. */
    void forget(long now) {
        if (members.values()
                .removeIf(m -> (m.state() == MemberState.LEFT || m.dropped) && now - m.since > settings.kept())) {
            version++;
        }
    }

    /** The same for the same members at the same incarnations and states, whoever accused whom. */
    long digest(long now) {
        long sum = 0;
        for (Member m : members.values()) {
            sum += told(now, m) ? m.known.hash() : 0;
        }
        return sum;
    }

    /** Of those that are gone nobody tells any more long before the first forgets them, or they would come back without end. */
    private boolean told(long now, Member m) {
        return isIn(m) || now - m.since < settings.kept() / 2;
    }

    /** All that is told, in pages that each fit a datagram. */
    List<List<GossipUpdate>> pages(long now) {
        List<List<GossipUpdate>> pages = new ArrayList<>();
        List<GossipUpdate> page = new ArrayList<>();
        int bytes = 0;
        for (Member m : members.values()) {
            if (told(now, m)) {
                if (bytes + Gossip.bytes(m.known) > Swim.PAGE) {
                    pages.add(page);
                    page = new ArrayList<>();
                    bytes = 0;
                }
                page.add(isIn(m) ? m.known : m.known.aged(now - m.since));
                bytes += Gossip.bytes(m.known);
            }
        }
        pages.add(page);
        return pages;
    }

    List<View.Seen> seen() {
        List<View.Seen> seen = new ArrayList<>();
        members.values().forEach(m -> seen.add(new View.Seen(m.known, m.since, m.dropped)));
        return List.copyOf(seen);
    }

    /** Living ones, this member included. */
    int alive() {
        return 1 + alive;
    }

    /** Living and suspects, this member included. */
    int size() {
        return 1 + alive + suspects.size();
    }

    /** Those that may run, this member included. */
    int may() {
        return size() + silent.size();
    }

    /** All that are remembered, this member included. */
    int known() {
        return 1 + members.size();
    }

    /** Goes up with each change of any member. */
    long version() {
        return version;
    }
}
