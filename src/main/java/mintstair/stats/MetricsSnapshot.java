package mintstair.stats;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;

/** The values of all metrics at one moment, in the order in which they were added. Immutable. */
public final class MetricsSnapshot {
    private static final String PREFIX = "svc.";

    private final Map<String, Long> values;

    private MetricsSnapshot(Map<String, Long> values) {
        this.values = Collections.unmodifiableMap(values);
    }

    /** The value of a metric by its name without prefix, such as {@code served.lobby-read}; 0 where there is none. */
    public long value(String name) {
        return values.getOrDefault(name, 0L);
    }

    /** One line for each metric: {@code svc.NAME=VALUE}. */
    @Override
    public String toString() {
        StringBuilder lines = new StringBuilder();
        values.forEach((name, value) ->
                lines.append(PREFIX).append(name).append('=').append(value).append('\n'));
        return lines.toString();
    }

    /** Collects values; those that are added under the same name by several parts are summed. For use by one thread. */
    public static final class Builder {
        private final Map<String, Long> values = new LinkedHashMap<>();

        /** Adds to the metric of this name, which is 0 at first. */
        public Builder add(String name, long value) {
            values.merge(name, value, Long::sum);
            return this;
        }

        /** A snapshot of what was added up to now. */
        public MetricsSnapshot build() {
            return new MetricsSnapshot(new LinkedHashMap<>(values));
        }
    }
}
