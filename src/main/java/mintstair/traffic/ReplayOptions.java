package mintstair.traffic;

import java.util.Set;

/**
 * What of a recording is replayed, and how.
 *
 * @param speed 2 plays in half the time
 * @param from seconds from the first request on that are left out
 * @param to seconds from the first request on after which nothing is played
 * @param classes the classes that are played, empty for all
 * @param sessions the sessions that are played, empty for all
 * @param times how often each request is played, at the same time, by sessions of other names
 * @param liveRetries whether recorded retries are left out and made anew from refusals
 * @param retryBudget for live retries, the share of first tries that may be tried again
 */
public record ReplayOptions(
        double speed,
        double from,
        double to,
        Set<String> classes,
        Set<String> sessions,
        int times,
        boolean liveRetries,
        double retryBudget) {
    /** All of it, once, as it was. */
    public static final ReplayOptions ALL =
            new ReplayOptions(1, 0, Double.MAX_VALUE, Set.of(), Set.of(), 1, false, 0.1);

    public ReplayOptions {
        if (!(speed > 0)
                || speed > 1_000
                || times < 1
                || times > 1_000
                || !(from >= 0)
                || !(to > from)
                || !(retryBudget >= 0 && retryBudget <= 1)) {
            throw new IllegalArgumentException(
                    "speed must be above 0 and at most 1,000, times from 1 to 1,000, from at least 0 and"
                            + " below to, the budget of retries from 0 to 1");
        }
    }

    boolean takes(RecordedExchange e, long firstAsked) {
        double at = (e.asked() - firstAsked) / 1e9;
        return at >= from
                && at < to
                && (classes.isEmpty() || classes.contains(e.requestClass()))
                && (sessions.isEmpty() || (e.session() != null && sessions.contains(e.session())))
                && !(liveRetries && e.retry());
    }
}
