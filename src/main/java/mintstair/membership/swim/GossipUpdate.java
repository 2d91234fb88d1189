package mintstair.membership.swim;

/**
 * The state of one member at one incarnation, as members pass it on by gossip.
 *
 * @param name the member's name, unique in the fleet
 * @param address where it receives messages, as host:port
 * @param incarnation raised only by the member itself, to refute a suspicion; starts as the Unix time of the process
 *     start in microseconds, so that a restarted process overrides all updates on its predecessor
 * @param state its state
 * @param ageMicros how long it had been in that state when the update was sent; set only for dead members and those
 *     that left, so that all members forget them at about the same time
 * @param reporter the member whose own probe led to the state; the member itself if it announced the state
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

    /** The same member at the same incarnation in another state, as {@code newReporter} found it. */
    GossipUpdate withState(MemberState newState, String newReporter) {
        return new GossipUpdate(name, address, incarnation, newState, newReporter);
    }

    /** A hash of name, incarnation and state. Address, age and reporter may differ between members that agree. */
    long fingerprint() {
        long hash = name.hashCode() * NAME_MULTIPLIER + incarnation * INCARNATION_MULTIPLIER + state.ordinal();
        hash = (hash ^ (hash >>> 32)) * MIX_MULTIPLIER;
        return hash ^ (hash >>> 32);
    }

    /** Whether this update replaces a known one: by a higher incarnation, or by a later state at the same one. */
    boolean overrides(GossipUpdate known) {
        if (incarnation != known.incarnation) {
            return incarnation > known.incarnation;
        }
        return state.compareTo(known.state) > 0;
    }
}
