package mintstair.membership.swim;

/** Another member, as known here. */
final class Member {
    private GossipUpdate update;
    private long sinceMicros;
    /** Null unless the member is suspect. */
    private Suspicion suspicion;
    /** When this process learned of the death, which others may have declared long before, across a partition. */
    private long deathLearnedMicros;

    private boolean dropped;

    Member(GossipUpdate update) {
        this.update = update;
    }

    GossipUpdate update() {
        return update;
    }

    String name() {
        return update.name();
    }

    String address() {
        return update.address();
    }

    MemberState state() {
        return update.state();
    }

    boolean isAlive() {
        return state() == MemberState.ALIVE;
    }

    boolean isDead() {
        return state() == MemberState.DEAD;
    }

    /** Whether it is alive or suspect: it takes part in the protocol. */
    boolean isActive() {
        return isAlive() || state() == MemberState.SUSPECT;
    }

    /** When its state became what it is. */
    long sinceMicros() {
        return sinceMicros;
    }

    /** Its suspicion; null unless it is suspect. */
    Suspicion suspicion() {
        return suspicion;
    }

    /** When this process learned that it is dead. */
    long deathLearnedMicros() {
        return deathLearnedMicros;
    }

    /** Whether it is dead for so long that it no longer counts: it must have noticed if it is only partitioned. */
    boolean isDropped() {
        return dropped;
    }

    void drop() {
        dropped = true;
    }

    /** Replaces what is known of it; whatever belongs to the former state ends. */
    void replaceUpdate(GossipUpdate newUpdate) {
        update = newUpdate;
        suspicion = null;
        dropped = false;
    }

    void stateEntered(long enteredMicros) {
        sinceMicros = enteredMicros;
    }

    void suspected(long nowMicros, Suspicion newSuspicion) {
        sinceMicros = nowMicros;
        suspicion = newSuspicion;
    }

    void deathLearned(long nowMicros) {
        deathLearnedMicros = nowMicros;
    }

    /** Extends a suspicion by a time in which the member could not refute it. */
    void extendSuspicion(long byMicros) {
        sinceMicros += byMicros;
        suspicion.processMayRun();
    }

    boolean isSuspicionOver(long nowMicros) {
        return nowMicros >= suspicion.deadlineMicros(sinceMicros);
    }
}
