package mintstair.decision;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * How far the clock by which hosts report positions and start times is ahead of this router's own. Both are Unix
 * time, but this machine's may have been wrong when the router started. A primary is always up to date, so the newest
 * position of each replica set's primary shows it. A clock that is behind would make old replicas seem recent, so
 * reads are held to the positions' clock then; one that is ahead only makes replicas seem older than they are, which
 * is left so. Slow starts follow the positions' clock both ways.
 *
 * <p>All times are microseconds. Not safe for use by several threads.
 */
final class PositionClock {
    /** Clocks that are right differ by this, and positions are rounded on their way. */
    private static final long TOLERANCE = 20_000;
    /**
     * Reports come old; where each replica set's primary reports what is older than this, it is the clock that is
     * ahead.
     */
    private static final long OLDEST_REPORT = 2_000_000;
    /** What the youngest report of a primary may be old, where the clock is behind and reports alone tell the time. */
    private static final long REPORT_AGE = 100_000;
    /** Evidence that differs by more than this from the median is one host's own fault. */
    private static final long CLOSE = 1_000_000;

    /** Of each group: the newest position that its primary reported, less the own time at which it arrived. */
    private final Map<Integer, Long> evidence = new HashMap<>();

    private int groupsAhead;
    private int groupsOld;
    private long offset;
    private long startOffset;

    /** A primary reported its position; returns whether start times are to be judged anew. */
    boolean primaryReported(int group, long now, long position) {
        Long before = evidence.get(group);
        // A former primary reports its past: once a group has shown a right clock, or a newer time, that stands.
        boolean stands = before != null && before <= TOLERANCE;
        long ahead = stands ? Math.max(before, position - now) : position - now;
        evidence.put(group, ahead);
        groupsAhead += isAhead(ahead) - (before == null ? 0 : isAhead(before));
        groupsOld += isOld(ahead) - (before == null ? 0 : isOld(before));
        long startsBefore = startOffset;
        offset = 0;
        startOffset = 0;
        if (2 * groupsAhead > evidence.size()) {
            offset = newestNearMedian() + REPORT_AGE;
            startOffset = offset > OLDEST_REPORT ? offset : 0;
        } else if (groupsOld == evidence.size()) {
            startOffset = newestNearMedian();
        }
        return Math.abs(startOffset - startsBefore) > CLOSE;
    }

    private static int isAhead(long ahead) {
        return ahead > TOLERANCE ? 1 : 0;
    }

    private static int isOld(long ahead) {
        return ahead < -OLDEST_REPORT ? 1 : 0;
    }

    private long newestNearMedian() {
        long[] sorted =
                evidence.values().stream().mapToLong(Long::longValue).sorted().toArray();
        long median = sorted[sorted.length / 2];
        return Arrays.stream(sorted)
                .filter(each -> each <= median + CLOSE)
                .max()
                .orElse(median);
    }

    /** The present by the clock of positions, or later. */
    long currentPosition(long now) {
        return now + offset;
    }

    /**
     * Whether what is recent enough is known for this group: by its own primary, where the own clock can't be relied
     * on.
     */
    boolean hasTimeReference(int group) {
        return offset == 0 || evidence.containsKey(group);
    }

    /** The own time at which a position of this group was the present; never in the future. */
    long localTimeOf(int group, long now, long position) {
        boolean wrong = offset != 0 || groupsOld == evidence.size();
        return Math.min(now, wrong ? position - evidence.getOrDefault(group, 0L) : position);
    }

    /** How long ago a host with this start time started; nothing starts in the future. */
    long timeSinceStart(long now, long start) {
        return Math.max(0, now + startOffset - start);
    }

    /** What the clock of positions is ahead of the own one by, as far as it is taken to be wrong; 0 otherwise. */
    long clockError() {
        return offset != 0 ? offset : startOffset;
    }
}
