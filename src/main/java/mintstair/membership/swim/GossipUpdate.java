package mintstair.membership.swim;

/**
 * The state of one member at one incarnation, as disseminated by gossip.
 *
 * @param name the member's name, unique in the fleet
 * @param address address at which it receives messages, as {@code host:port}
 * @param incarnation raised only by the member itself, to refute a suspicion; starts as the Unix time of the process
 *     start in microseconds, so that a restarted process overrides all updates about its predecessor
 * @param state the state of the member
 * @param ageMicros how long the member had been in that state when the update was sent; set only for members that are
 *     dead or left, so that all members remove them at about the same time
 * @param reporter name of the member whose probe led to the state, or of the member itself if it announced the state
 */
public record GossipUpdate(
        String name, String address, long incarnation, MemberState state, long ageMicros, String reporter) {
    private static final long NAME_MULTIPLIER = 0x9E3779B97F4A7C15L;
    private static final long INCARNATION_MULTIPLIER = 0xC2B2AE3D27D4EB4FL;
    private static final long MIX_MULTIPLIER = 0xD6E8FEB86659FD93L;

    GossipUpdate(String name, String address, long incarnation, MemberState state, String reporter) {
        this(name, address, incarnation, state, 0, reporter);
    }

    GossipUpdate withAgeMicros(long newAgeMicros) {
        return new GossipUpdate(name, address, incarnation, state, newAgeMicros, reporter);
    }

    /** Returns an update for the same member and incarnation with another state, found by {@code newReporter}. */
    GossipUpdate withState(MemberState newState, String newReporter) {
        return new GossipUpdate(name, address, incarnation, newState, newReporter);
    }

    /** Returns a hash of name, incarnation and state; the other fields may differ between members that agree. */
    long fingerprint() {
        long hash = name.hashCode() * NAME_MULTIPLIER + incarnation * INCARNATION_MULTIPLIER + state.ordinal();
        hash = (hash ^ (hash >>> 32)) * MIX_MULTIPLIER;
        return hash ^ (hash >>> 32);
    }

    /** Returns whether this update replaces a known one: its incarnation is higher, or equal with a later state. */
    boolean overrides(GossipUpdate known) {
        if (incarnation != known.incarnation) {
            return incarnation > known.incarnation;
        }
        return state.compareTo(known.state) > 0;
    }
}
