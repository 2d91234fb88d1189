package mintstair.membership.swim;

/**
 * What is told of a member.
 *
 * @param name the member's, unique in the fleet
 * @param address where it takes messages
 * @param incarnation raised by the member alone, each time that it refutes; begins with the time of its start, so that a process
 *     is newer than all that is told of its predecessor
 * @param age how long it has been so, at the time of telling; only told of those that are dead or left, so that they are forgotten
 *     everywhere at about the same time
 * @param by whoever suspects or declares it on evidence of its own; the member itself otherwise
 */
public record GossipUpdate(String name, String address, long incarnation, MemberState state, long age, String by) {
    GossipUpdate(String name, String address, long incarnation, MemberState state, String by) {
        this(name, address, incarnation, state, 0, by);
    }

    GossipUpdate aged(long now) {
        return new GossipUpdate(name, address, incarnation, state, now, by);
    }

    /** A digest of who it is and its state, whoever told of it. */
    long hash() {
        long h = name.hashCode() * 0x9E3779B97F4A7C15L + incarnation * 0xC2B2AE3D27D4EB4FL + state.ordinal();
        h = (h ^ (h >>> 32)) * 0xD6E8FEB86659FD93L;
        return h ^ (h >>> 32);
    }

    /** Whether this replaces what is known: a higher incarnation, or worse news at the same one. */
    public boolean overrides(GossipUpdate known) {
        return known == null
                || incarnation > known.incarnation
                || (incarnation == known.incarnation && state.compareTo(known.state) > 0);
    }
}
