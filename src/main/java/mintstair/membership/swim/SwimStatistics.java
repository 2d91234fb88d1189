package mintstair.membership.swim;

/**
 * Counters of one member since its start.
 *
 * @param sentMessages number of messages sent
 * @param receivedMessages number of messages received
 * @param raisedSuspicions suspicions that this member raised by its own probes
 * @param refutedSuspicions suspicions of other members that were refuted
 * @param falseDeaths members that were declared dead and then refuted that with a slightly higher incarnation
 * @param deaths suspects that became dead
 * @param suspicionMicros time from suspect to dead, summed over all {@code deaths}
 * @param ownRefutations updates about itself that this member refuted
 * @param stalls times that this process stalled for more than a period
 * @param rejected rejected updates about members beyond the maximum, plus rejected requests for relayed probes
 * @param nameConflicts updates about a newer process with this member's name at another address
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
