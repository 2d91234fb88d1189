package mintstair.stats;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;

/** One moment's figures, for the people on call; nothing in it changes any more. */
public final class MetricsSnapshot {
    private static final String PREFIX = "svc.";
    private final Map<String, Long> values;

    private MetricsSnapshot(Map<String, Long> values) {
        this.values = Collections.unmodifiableMap(values);
    }

    /** A figure by its name, {@code served.lobby-read}; 0 where it is not known. */
    public long value(String name) {
        return values.getOrDefault(name, 0L);
    }

    /** A line each, name and value. */
    @Override
    public String toString() {
        StringBuilder lines = new StringBuilder();
        values.forEach((name, value) ->
                lines.append(PREFIX).append(name).append('=').append(value).append('\n'));
        return lines.toString();
    }

    /** Adds up the figures of all fronts. */
    public static final class Builder {
        private final Map<String, Long> values = new LinkedHashMap<>();

        public Builder add(String name, long value) {
            values.merge(name, value, Long::sum);
            return this;
        }

        public MetricsSnapshot build() {
            return new MetricsSnapshot(new LinkedHashMap<>(values));
        }
    }
}
