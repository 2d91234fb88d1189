package mintstair.membership.swim;

/**
 * Derives the {@link ClusterSizeEstimate} from the member counts. The shared limits hold only if every settled member
 * is counted by every settled member, whatever the network does; docs/design-membership.md shows why these rules
 * guarantee that.
 */
final class ClusterSizeEstimator {
    /** A partitioned member has noticed the partition within this multiple of the spread time after it became dead. */
    private static final int DROP_SPREADS = 3;

    /** No quorum now. */
    private static final long NEVER = Long.MAX_VALUE;

    /** Size of the fleet: shrinks only by members that left or were dropped. */
    private int expected;

    private int largest;
    private int lastCounted = 1;
    private long quorumSinceMicros = NEVER;
    private long unsettledUntilMicros;
    private ClusterSizeEstimate current;

    ClusterSizeEstimator(int configuredSize, long nowMicros) {
        expected = Math.max(1, configuredSize);
        largest = expected;
        unsettledUntilMicros = nowMicros;
        current = new ClusterSizeEstimate(largest, largest, false, false);
    }

    /**
     * Called when this member has started or stood still: its view, and the view that others have of it, may be
     * outdated until updates have spread.
     */
    void unsettle(long nowMicros, long spreadMicros) {
        unsettledUntilMicros = Math.max(unsettledUntilMicros, nowMicros + spreadMicros);
        quorumSinceMicros = NEVER;
    }

    /** Whether a member that is dead since then must have noticed by now that it is partitioned, if it runs. */
    boolean mayDrop(long nowMicros, long deadSinceMicros, long spreadMicros) {
        if (quorumSinceMicros == NEVER) {
            return false;
        }
        return nowMicros - Math.max(deadSinceMicros, quorumSinceMicros) > DROP_SPREADS * spreadMicros;
    }

    /**
     * Takes over new member counts.
     *
     * @param alive members that are alive, this one included
     * @param counted members that may run, this one included: all but those that left or were dropped
     */
    void update(long nowMicros, int alive, int counted, long spreadMicros) {
        expected = Math.max(counted, expected - Math.max(0, lastCounted - counted));
        lastCounted = counted;
        largest = Math.max(largest, counted);
        boolean quorum = 2 * alive > expected;
        if (!quorum) {
            quorumSinceMicros = NEVER;
        } else if (quorumSinceMicros == NEVER) {
            quorumSinceMicros = nowMicros;
            unsettledUntilMicros = Math.max(unsettledUntilMicros, nowMicros + spreadMicros);
        }
        boolean settled = quorum && nowMicros >= unsettledUntilMicros;
        current = new ClusterSizeEstimate(largest, counted, settled, quorum);
    }

    ClusterSizeEstimate current() {
        return current;
    }
}
