package mintstair.membership.swim;

/** Counts state changes of other members, which measure the accuracy and speed of failure detection. */
final class TransitionCounters {
    /**
     * An incarnation that is higher than the known one by less than this is a refutation, which raises it by one. The
     * first incarnation of a new process is its start time and therefore far higher.
     */
    private final long maxRefutationStep;

    private long refutedSuspicions;
    private long falseDeaths;
    private long deaths;
    private long suspicionMicros;

    TransitionCounters(long periodMicros) {
        maxRefutationStep = periodMicros;
    }

    /** Counts the change from a member's current state to that of the update that replaces it. */
    void count(long nowMicros, Member before, GossipUpdate after) {
        if (after.state() == MemberState.ALIVE) {
            countRecovery(before, after);
        } else if (after.state() == MemberState.DEAD && before.state() == MemberState.SUSPECT) {
            deaths++;
            suspicionMicros += nowMicros - before.sinceMicros();
        }
    }

    private void countRecovery(Member before, GossipUpdate after) {
        if (before.state() == MemberState.SUSPECT) {
            refutedSuspicions++;
        }
        long step = after.incarnation() - before.update().incarnation();
        if (before.isDead() && step < maxRefutationStep) {
            falseDeaths++;
        }
    }

    long refutedSuspicions() {
        return refutedSuspicions;
    }

    long falseDeaths() {
        return falseDeaths;
    }

    long deaths() {
        return deaths;
    }

    /** Returns the time from suspect to dead, summed over all deaths. */
    long suspicionMicros() {
        return suspicionMicros;
    }
}
