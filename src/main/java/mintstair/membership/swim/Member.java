package mintstair.membership.swim;

/** Another member of the fleet, as seen by this one. */
final class Member {
    private GossipUpdate update;
    private long sinceMicros;
    /** Null unless the member is suspect. */
    private Suspicion suspicion;
    /** When this process learned of the death. Members across a partition may have declared it much earlier. */
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

    /** Returns whether it is alive or suspect, and therefore takes part in the protocol. */
    boolean isActive() {
        return isAlive() || state() == MemberState.SUSPECT;
    }

    /** Returns when it entered its current state. */
    long sinceMicros() {
        return sinceMicros;
    }

    /** Returns its suspicion; null unless it is suspect. */
    Suspicion suspicion() {
        return suspicion;
    }

    /** Returns when this process learned of its death. */
    long deathLearnedMicros() {
        return deathLearnedMicros;
    }

    /**
     * Returns whether it has been dead for so long that it is no longer counted as possibly running: if it is only
     * partitioned, it has detected that by now.
     */
    boolean isDropped() {
        return dropped;
    }

    void drop() {
        dropped = true;
    }

    /** Replaces the update, and clears the suspicion and the dropped mark of the previous state. */
    void replaceUpdate(GossipUpdate newUpdate) {
        update = newUpdate;
        suspicion = null;
        dropped = false;
    }

    void setSinceMicros(long newSinceMicros) {
        sinceMicros = newSinceMicros;
    }

    void startSuspicion(long nowMicros, Suspicion newSuspicion) {
        sinceMicros = nowMicros;
        suspicion = newSuspicion;
    }

    void recordDeath(long nowMicros) {
        deathLearnedMicros = nowMicros;
    }

    /** Extends the suspicion by a time in which no refutation could be received. */
    void extendSuspicion(long byMicros) {
        sinceMicros += byMicros;
        suspicion.clearProcessGone();
    }

    boolean isSuspicionExpired(long nowMicros) {
        return nowMicros >= suspicion.deadlineMicros(sinceMicros);
    }
}
