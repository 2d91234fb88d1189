package mintstair.traffic;

import java.util.Set;

/**
 * What of a recording is replayed, and how.
 *
 * @param speed 2 plays in half the time
 * @param fromSeconds seconds from the first request on that are left out
 * @param untilSeconds seconds from the first request on after which nothing is played
 * @param classes the request classes that are played, empty for all
 * @param sessions the sessions that are played, empty for all
 * @param copies how often each request is played, at the same time, by sessions of other names
 * @param liveRetries whether recorded retries are left out, and rejected requests retried instead
 * @param retryBudget for live retries, the share of first attempts that may be retried
 */
public record ReplayOptions(
        double speed,
        double fromSeconds,
        double untilSeconds,
        Set<String> classes,
        Set<String> sessions,
        int copies,
        boolean liveRetries,
        double retryBudget) {
    /** All of it, once, as it was. */
    public static final ReplayOptions ALL =
            new ReplayOptions(1, 0, Double.MAX_VALUE, Set.of(), Set.of(), 1, false, 0.1);

    private static final double MAX_SPEED = 1_000;
    private static final int MAX_COPIES = 1_000;
    private static final double NANOS_PER_SECOND = 1e9;

    /**
     * Checks the ranges.
     *
     * @throws IllegalArgumentException where one is out of range, NaN included
     */
    public ReplayOptions {
        boolean speedValid = speed > 0 && speed <= MAX_SPEED;
        boolean copiesValid = copies >= 1 && copies <= MAX_COPIES;
        boolean windowValid = fromSeconds >= 0 && untilSeconds > fromSeconds;
        boolean budgetValid = retryBudget >= 0 && retryBudget <= 1;
        if (!speedValid || !copiesValid || !windowValid || !budgetValid) {
            throw new IllegalArgumentException(
                    "speed must be above 0 and at most 1,000, times from 1 to 1,000, from at least 0 and"
                            + " below to, the budget of retries from 0 to 1");
        }
    }

    /** Where the replay begins, in nanoseconds of the recording's clock. */
    long beginNanos(long firstRequestNanos) {
        return firstRequestNanos + (long) (fromSeconds * NANOS_PER_SECOND);
    }

    /** Whether a recorded request is played. */
    boolean includes(RecordedExchange recorded, long firstRequestNanos) {
        double seconds = (recorded.requestNanos() - firstRequestNanos) / NANOS_PER_SECOND;
        boolean inWindow = seconds >= fromSeconds && seconds < untilSeconds;
        boolean leftOutAsRetry = liveRetries && recorded.retry();
        return inWindow && includesClass(recorded) && includesSession(recorded) && !leftOutAsRetry;
    }

    private boolean includesClass(RecordedExchange recorded) {
        return classes.isEmpty() || classes.contains(recorded.requestClass());
    }

    private boolean includesSession(RecordedExchange recorded) {
        return sessions.isEmpty() || (recorded.session() != null && sessions.contains(recorded.session()));
    }
}
