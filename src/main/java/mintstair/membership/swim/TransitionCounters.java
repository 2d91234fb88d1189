package mintstair.membership.swim;

/** Counts state changes of other members, as a measure of the quality of failure detection. */
final class TransitionCounters {
    /** A higher incarnation within one period of the known one is a refutation; a new process starts far above it. */
    private final long maxRefutationStep;

    private long refutedSuspicions;
    private long falseDeaths;
    private long deaths;
    private long suspicionMicros;

    TransitionCounters(long periodMicros) {
        maxRefutationStep = periodMicros;
    }

    /** Counts the change from a member's known state to that of the update which replaces it. */
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

    /** Time from suspect to dead, summed over all deaths. */
    long suspicionMicros() {
        return suspicionMicros;
    }
}
