package mintstair.membership.swim;

import java.util.HashSet;
import java.util.Set;

/** One other member, as known here. */
final class Member {
    GossipUpdate known;
    /** When its state became what it is. */
    long since;
    /** Of a suspect: those who suspect it on evidence of their own, and how many of them shorten the time. */
    final Set<String> accusers = new HashSet<>();
    /** Of a suspect: shortest and longest time until it is declared dead, as the fleet was when it was suspected. */
    long least;

    long most;
    /** Of a suspect: when it counts as dead as a connection to its address was turned away; never where none was. */
    long closedAt = Long.MAX_VALUE;
    /** Of a dead one: since when this member takes it for that; another may have done so far longer, on the far side of a cut. */
    long silentSince;
    /** Of a dead one: it no longer counts, as it must have noticed by now if it is only cut off. */
    boolean dropped;

    Member(GossipUpdate known, long now) {
        this.known = known;
        since = now;
    }

    MemberState state() {
        return known.state();
    }

    /** It is suspected now, in a fleet of this size, on the evidence of whoever says so. */
    void suspected(long now, SwimSettings settings, int size) {
        since = now;
        closedAt = Long.MAX_VALUE;
        accusers.clear();
        accusers.add(known.by());
        least = settings.leastSuspicion(size);
        most = settings.mostSuspicion(size);
    }

    /** A suspicion falls from its longest to its shortest time with the logarithm of those who confirm it. */
    long deadAt(int confirmations) {
        int confirmed = Math.max(0, Math.min(confirmations, accusers.size() - 1));
        double part = confirmations == 0 ? 1 : Math.log(confirmed + 1) / Math.log(confirmations + 1);
        return Math.min(closedAt, since + most - (long) (part * (most - least)));
    }
}
