package mintstair.membership.swim;

import java.util.List;

/**
 * The fleet as this member sees it at one time; nothing in it changes any more.
 *
 * @param version goes up with each change of any member's state
 * @param self this member, as it tells of itself
 * @param members the others, by name
 * @param standing what follows from it
 */
public record View(long version, Rumour self, List<Seen> members, FleetStanding.Standing standing) {
    /**
     * A member as it is known here.
     *
     * @param since when its state became what it is
     * @param dropped a dead one that no longer counts as one that may run
     */
    public record Seen(Rumour known, long since, boolean dropped) {}

    /**
     * What happened since the start.
     *
     * @param raised suspicions that this member raised itself
     * @param refuted suspicions of others that were refuted
     * @param falseDeaths members declared dead that told later, at the next incarnation, that they had lived
     * @param deaths suspects that became dead, and {@code untilDeaths} the time from the one to the other, of all together
     * @param refutations suspicions of itself that this member refuted
     * @param turnedAway members and errands for which there was no room
     * @param namesakes tellings of another, newer process of this one's name
     * @param stalls times that it stood still for over a period
     */
    public record Tally(
            long sent,
            long heard,
            long raised,
            long refuted,
            long falseDeaths,
            long deaths,
            long untilDeaths,
            long refutations,
            long stalls,
            long turnedAway,
            long namesakes) {}
}
