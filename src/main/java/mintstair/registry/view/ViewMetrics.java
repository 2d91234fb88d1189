package mintstair.registry.view;

import java.util.Map;

/**
 * The state of a view at one moment, for metrics and operators.
 *
 * @param ageMicros since the registry last confirmed that the view is complete; -1 for never
 * @param live whether the registry has confirmed the view since the start
 * @param digest equal for equal endpoint lists, whatever the order of the changes that led there
 * @param server the index of the registry server in use
 * @param lastFailureAtMicros when a call last failed; -1 for never
 * @param lastFailure why a call last failed; empty for never
 * @param counts events since the start, by metric name
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
    /** The same state as it is this much later. */
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
