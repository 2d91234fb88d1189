package mintstair.membership.swim;

/**
 * Counters of one member since its start.
 *
 * @param sentMessages messages sent
 * @param receivedMessages messages received
 * @param raisedSuspicions suspicions that this member raised itself
 * @param refutedSuspicions suspicions of other members that were refuted
 * @param falseDeaths members declared dead that later refuted it, at the incarnation that follows
 * @param deaths suspects that became dead
 * @param suspicionMicros time from suspect to dead, summed over all {@code deaths}
 * @param ownRefutations suspicions of itself that this member refuted
 * @param stalls times that this process stood still for more than a period
 * @param rejected members and relayed probes that were over a bound
 * @param nameConflicts updates on another, newer process with this member's name
 */
public record SwimStatistics(
        long sentMessages,
        long receivedMessages,
        long raisedSuspicions,
        long refutedSuspicions,
        long falseDeaths,
        long deaths,
        long suspicionMicros,
        long ownRefutations,
        long stalls,
        long rejected,
        long nameConflicts) {}
