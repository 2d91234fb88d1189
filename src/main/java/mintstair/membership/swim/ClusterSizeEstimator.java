package mintstair.membership.swim;

/**
 * Derives the {@link ClusterSizeEstimate} from the member counts. The fleet's common limits hold only if every settled
 * member counts every other settled member, whatever faults the network has; docs/design-membership.md shows why these
 * rules guarantee that.
 */
final class ClusterSizeEstimator {
    /**
     * Multiple of the dissemination time after its death within which a partitioned member that still runs has detected
     * that it lost the quorum.
     */
    private static final int DROP_DISSEMINATION_MULTIPLE = 3;

    /** Value of {@link #quorumSinceMicros} while there is no quorum. */
    private static final long NO_QUORUM = Long.MAX_VALUE;

    /** Size of the fleet, of which a quorum is more than half; reduced only by members that left or were dropped. */
    private int expectedSize;

    private int largest;
    private int lastCounted = 1;
    private long quorumSinceMicros = NO_QUORUM;
    private long unsettledUntilMicros;
    private ClusterSizeEstimate current;

    ClusterSizeEstimator(int configuredSize, long nowMicros) {
        expectedSize = Math.max(1, configuredSize);
        largest = expectedSize;
        unsettledUntilMicros = nowMicros;
        current = new ClusterSizeEstimate(largest, largest, false, false);
    }

    /**
     * Marks this member as unsettled because it has just started or stalled: its view of the fleet, and the other
     * members' view of it, may be outdated until updates have been disseminated.
     */
    void markUnsettled(long nowMicros, long disseminationMicros) {
        unsettledUntilMicros = Math.max(unsettledUntilMicros, nowMicros + disseminationMicros);
        quorumSinceMicros = NO_QUORUM;
    }

    /**
     * Returns whether a member that has been dead since the given time can be dropped: if it still runs, it must have
     * detected by now that it is partitioned.
     */
    boolean canDrop(long nowMicros, long deadSinceMicros, long disseminationMicros) {
        if (quorumSinceMicros == NO_QUORUM) {
            return false;
        }
        long waitedMicros = nowMicros - Math.max(deadSinceMicros, quorumSinceMicros);
        return waitedMicros > DROP_DISSEMINATION_MULTIPLE * disseminationMicros;
    }

    /**
     * Updates the estimate with new member counts.
     *
     * @param alive number of members that are alive, including this one
     * @param counted number of members that may be running, including this one: all but those that left or were dropped
     */
    void update(long nowMicros, int alive, int counted, long disseminationMicros) {
        expectedSize = Math.max(counted, expectedSize - Math.max(0, lastCounted - counted));
        lastCounted = counted;
        largest = Math.max(largest, counted);
        boolean hasQuorum = 2 * alive > expectedSize;
        if (!hasQuorum) {
            quorumSinceMicros = NO_QUORUM;
        } else if (quorumSinceMicros == NO_QUORUM) {
            quorumSinceMicros = nowMicros;
            unsettledUntilMicros = Math.max(unsettledUntilMicros, nowMicros + disseminationMicros);
        }
        boolean settled = hasQuorum && nowMicros >= unsettledUntilMicros;
        current = new ClusterSizeEstimate(largest, counted, settled, hasQuorum);
    }

    ClusterSizeEstimate current() {
        return current;
    }
}
