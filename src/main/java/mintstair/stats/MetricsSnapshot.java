package mintstair.stats;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;

/** The values of all metrics at one point in time, in the order in which they were added. Immutable. */
public final class MetricsSnapshot {
    private static final String PREFIX = "svc.";

    private final Map<String, Long> values;

    private MetricsSnapshot(Map<String, Long> values) {
        this.values = Collections.unmodifiableMap(values);
    }

    /**
     * Returns the value of a metric, or 0 if the snapshot does not contain it.
     *
     * @param name the name without the prefix, such as {@code served.lobby-read}
     */
    public long value(String name) {
        return values.getOrDefault(name, 0L);
    }

    /** Returns one line for each metric: {@code svc.NAME=VALUE}. */
    @Override
    public String toString() {
        StringBuilder lines = new StringBuilder();
        values.forEach((name, value) ->
                lines.append(PREFIX).append(name).append('=').append(value).append('\n'));
        return lines.toString();
    }

    /** Collects metric values and sums those that are added under the same name. Not thread-safe. */
    public static final class Builder {
        private final Map<String, Long> values = new LinkedHashMap<>();

        /** Adds a value to the metric of this name, which is initially 0. */
        public Builder add(String name, long value) {
            values.merge(name, value, Long::sum);
            return this;
        }

        /** Returns a snapshot of the values that have been added so far. */
        public MetricsSnapshot build() {
            return new MetricsSnapshot(new LinkedHashMap<>(values));
        }
    }
}
