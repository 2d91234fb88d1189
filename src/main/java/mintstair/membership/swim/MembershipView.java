package mintstair.membership.swim;

import java.util.List;

/**
 * The fleet as one member sees it at one time. Immutable, so that any thread may read it.
 *
 * @param version grows with each change of any member's state
 * @param self this member, as it announces itself
 * @param peers the other members, by name
 * @param sizeEstimate what the view says about the size of the fleet
 */
public record MembershipView(long version, GossipUpdate self, List<Peer> peers, ClusterSizeEstimate sizeEstimate) {
    /**
     * Another member.
     *
     * @param update its state
     * @param sinceMicros when it entered that state
     * @param dropped whether it is dead for so long that it no longer counts as one that may run
     */
    public record Peer(GossipUpdate update, long sinceMicros, boolean dropped) {}
}
