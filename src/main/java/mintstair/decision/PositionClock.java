package mintstair.decision;

import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Estimates how far the clock of replication positions and host start times is ahead of this router's clock. Both are
 * Unix time, but the local clock may have been wrong when the router started. A primary is always up to date, so the
 * newest position of the primary of each replica set shows the difference. If the local clock is behind, old replicas
 * would seem recent, so the required positions of reads are corrected by the difference. If it is ahead, replicas only
 * seem older than they are, which is not corrected. Slow starts are corrected in both cases.
 *
 * <p>Times and positions are in microseconds. Not safe for use by several threads.
 */
final class PositionClock {
    /** The largest difference between correct clocks, including the rounding of positions in transit. */
    private static final long TOLERANCE_MICROS = 20_000;
    /**
     * The largest age of a report on arrival. If the primaries of all replica sets report older positions, the local
     * clock is ahead.
     */
    private static final long MAX_REPORT_AGE_MICROS = 2_000_000;
    /** The assumed age of the newest report of a primary while the local clock is behind. */
    static final long ASSUMED_REPORT_AGE_MICROS = 100_000;
    /** An offset above the median by more than this is due to the clock of a single host. */
    private static final long MAX_DEVIATION_MICROS = 1_000_000;

    /** For each replica set, the newest position that its primary reported minus the local time of its arrival. */
    private final Map<Integer, Long> evidence = new HashMap<>();

    /** The replica sets of which a replica has reported a position in the future of the local clock. */
    private final Set<Integer> replicasInFuture = new HashSet<>();

    private int replicaSetsAhead;
    private int replicaSetsBehind;
    private long offset;
    private long startOffset;

    /** Records a position that a primary reported; returns whether start times must be evaluated again. */
    boolean primaryReported(int replicaSet, long now, long position) {
        Long before = evidence.get(replicaSet);
        // A former primary reports past positions. Once a replica set has shown that the local clock is not behind,
        // only a newer position counts.
        boolean isConclusive = before != null && before <= TOLERANCE_MICROS;
        long ahead = isConclusive ? Math.max(before, position - now) : position - now;
        evidence.put(replicaSet, ahead);
        replicaSetsAhead += oneIfAhead(ahead) - (before == null ? 0 : oneIfAhead(before));
        replicaSetsBehind += oneIfBehind(ahead) - (before == null ? 0 : oneIfBehind(before));
        long startOffsetBefore = startOffset;
        offset = 0;
        startOffset = 0;
        if (2 * replicaSetsAhead > evidence.size()) {
            offset = largestNearMedian() + ASSUMED_REPORT_AGE_MICROS;
            startOffset = offset > MAX_REPORT_AGE_MICROS ? offset : 0;
        } else if (replicaSetsBehind == evidence.size()) {
            startOffset = largestNearMedian();
        }
        return Math.abs(startOffset - startOffsetBefore) > MAX_DEVIATION_MICROS;
    }

    /**
     * Records a position that a primary reported at an unknown time before now. It shows only that the clock of
     * positions is ahead by no less than the difference; how much the report is too old for more is not known.
     *
     * @return whether start times must be evaluated again
     */
    boolean primaryReportedEarlier(int replicaSet, long now, long position) {
        Long before = evidence.get(replicaSet);
        return before != null && position - now > before && primaryReported(replicaSet, now, position);
    }

    private static int oneIfAhead(long ahead) {
        return ahead > TOLERANCE_MICROS ? 1 : 0;
    }

    private static int oneIfBehind(long ahead) {
        return ahead < -MAX_REPORT_AGE_MICROS ? 1 : 0;
    }

    private long largestNearMedian() {
        long[] sorted =
                evidence.values().stream().mapToLong(Long::longValue).sorted().toArray();
        long median = sorted[sorted.length / 2];
        return Arrays.stream(sorted)
                .filter(each -> each <= median + MAX_DEVIATION_MICROS)
                .max()
                .orElse(median);
    }

    /** Returns the position of a replica that is fully up to date, or a later one. */
    long currentPosition(long now) {
        return now + offset;
    }

    /**
     * Records a position that a replica reported. One in the future shows that the local clock is behind, but not by how
     * much, as the replica may lag.
     */
    void replicaReported(int replicaSet, long now, long position) {
        if (position > currentPosition(now) + TOLERANCE_MICROS) {
            replicasInFuture.add(replicaSet);
        }
    }

    /**
     * Returns whether the current position is known for this replica set. If the local clock is behind, that requires a
     * report of the set's own primary.
     */
    boolean hasTimeReference(int replicaSet) {
        return evidence.containsKey(replicaSet) || (offset == 0 && !replicasInFuture.contains(replicaSet));
    }

    /**
     * Returns a position that no commit which this replica set has answered by now exceeds, or
     * {@link ReadRequirement#UNREACHABLE_POSITION} if no report of its primary shows how its clock differs from the
     * local one.
     */
    long latestCommit(int replicaSet, long now) {
        Long ahead = evidence.get(replicaSet);
        if (ahead == null) {
            return ReadRequirement.UNREACHABLE_POSITION;
        }
        long ownOffset = ahead > TOLERANCE_MICROS ? ahead + ASSUMED_REPORT_AGE_MICROS : 0;
        return now + Math.max(offset, ownOffset) + TOLERANCE_MICROS;
    }

    /** Returns the local time at which a position of this replica set was current; never in the future. */
    long localTimeOf(int replicaSet, long now, long position) {
        boolean isCorrected = offset != 0 || replicaSetsBehind == evidence.size();
        return Math.min(now, isCorrected ? position - evidence.getOrDefault(replicaSet, 0L) : position);
    }

    /** Returns how long ago a host with this start time started; 0 if the start time is in the future. */
    long timeSinceStart(long now, long start) {
        return Math.max(0, now + startOffset - start);
    }

    /**
     * Returns by how much the clock of positions is estimated to be ahead of the local clock; negative if it is behind,
     * 0 if the local clock is considered correct.
     */
    long clockError() {
        return offset != 0 ? offset : startOffset;
    }
}
