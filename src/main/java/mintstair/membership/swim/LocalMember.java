package mintstair.membership.swim;

/** This member: the state it announces, its incarnation and its local health. */
final class LocalMember {
    private final LocalHealth health;
    private GossipUpdate update;
    private long refutations;

    LocalMember(String name, String address, long startMicros, LocalHealth health) {
        this.health = health;
        update = new GossipUpdate(name, address, startMicros, MemberState.ALIVE, name);
    }

    /** What this member announces about itself. */
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

    /** Whether both name and address are this member's. */
    boolean isSameProcess(GossipUpdate other) {
        return other.name().equals(name()) && other.address().equals(address());
    }

    /** Whether an update on this name says nothing that this member would have to contradict. */
    boolean agreesWith(GossipUpdate other) {
        if (other.incarnation() != update.incarnation()) {
            // A lower incarnation is about a former process of this name.
            return other.incarnation() < update.incarnation();
        }
        return other.state() == MemberState.ALIVE && other.address().equals(address());
    }

    /** Refutes a suspicion at this incarnation by the next one. */
    void refute(long suspectedIncarnation) {
        refutations++;
        health.degrade();
        update = new GossipUpdate(name(), address(), suspectedIncarnation + 1, MemberState.ALIVE, name());
    }

    void leave() {
        update = update.withState(MemberState.LEFT, name());
    }

    /** Suspicions of this member that it refuted. */
    long refutations() {
        return refutations;
    }
}
