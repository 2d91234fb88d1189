package mintstair.registry.view;

import java.util.Map;

/**
 * The state of a view at one moment, for metrics and operators.
 *
 * @param clusterId the cluster id of the registry that the entries were read from
 * @param revision the revision up to which the entries are complete; -1 before the first complete read
 * @param ageMicros the time since the registry last confirmed that the view is complete; -1 for never
 * @param live whether the registry has confirmed the view since the start
 * @param hosts the number of hosts with a valid value
 * @param digest a digest that is equal for equal endpoint lists, regardless of the order of changes
 * @param server the index of the current server
 * @param lastFailureAtMicros when a call last failed; -1 for never
 * @param lastFailure why a call last failed; empty for never
 * @param counts the numbers of events since the start, by metric name
 */
public record ViewMetrics(
        long clusterId,
        long revision,
        long ageMicros,
        boolean live,
        int hosts,
        long digest,
        int server,
        long lastFailureAtMicros,
        String lastFailure,
        Map<String, Long> counts) {
    /** Returns the same state with its age increased by this time. */
    public ViewMetrics aged(long passedMicros) {
        if (ageMicros < 0) {
            return this;
        }
        return new ViewMetrics(
                clusterId,
                revision,
                ageMicros + passedMicros,
                live,
                hosts,
                digest,
                server,
                lastFailureAtMicros,
                lastFailure,
                counts);
    }
}
