package mintstair.membership.swim;

import java.util.List;

/**
 * The fleet as seen by one member at one time. Immutable, so that any thread may read it.
 *
 * @param version number that grows with each change of any member's state
 * @param self this member, as it announces itself
 * @param peers the other members, by name
 * @param sizeEstimate size of the fleet as derived from the view
 */
public record MembershipView(long version, GossipUpdate self, List<Peer> peers, ClusterSizeEstimate sizeEstimate) {
    /**
     * Another member.
     *
     * @param update the update that established its state
     * @param sinceMicros when it entered that state
     * @param dropped whether it has been dead for so long that it is no longer counted as possibly running
     */
    public record Peer(GossipUpdate update, long sinceMicros, boolean dropped) {}
}
