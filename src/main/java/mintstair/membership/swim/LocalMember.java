package mintstair.membership.swim;

/** This member: the state that it announces, its incarnation and its local health. */
final class LocalMember {
    private final LocalHealth health;
    private GossipUpdate update;
    private long refutations;

    LocalMember(String name, String address, long startMicros, LocalHealth health) {
        this.health = health;
        update = new GossipUpdate(name, address, startMicros, MemberState.ALIVE, name);
    }

    /** Returns the update that this member announces about itself. */
    GossipUpdate update() {
        return update;
    }

    String name() {
        return update.name();
    }

    String address() {
        return update.address();
    }

    LocalHealth health() {
        return health;
    }

    boolean hasLeft() {
        return update.state() == MemberState.LEFT;
    }

    /** Returns whether both name and address are this member's. */
    boolean isSameProcess(GossipUpdate other) {
        return other.name().equals(name()) && other.address().equals(address());
    }

    /** Returns whether an update for this member's name needs no refutation. */
    boolean agreesWith(GossipUpdate other) {
        if (other.incarnation() != update.incarnation()) {
            // A lower incarnation belongs to an earlier process of this name.
            return other.incarnation() < update.incarnation();
        }
        return other.state() == MemberState.ALIVE && other.address().equals(address());
    }

    /** Refutes an update at the given incarnation by announcing that this member is alive at the next one. */
    void refute(long suspectedIncarnation) {
        refutations++;
        health.degrade();
        update = new GossipUpdate(name(), address(), suspectedIncarnation + 1, MemberState.ALIVE, name());
    }

    void leave() {
        update = update.withState(MemberState.LEFT, name());
    }

    /** Returns the number of updates about itself that this member has refuted. */
    long refutations() {
        return refutations;
    }
}
