package mintstair.decision;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** The classes of the current settings, each with its statistics. Not safe for use by several threads. */
final class RequestClassTable {
    private static final double PATIENCE_DEVIATIONS = 2;
    private static final double PATIENCE_FACTOR = 2;

    private List<ClassStatistics> classes = List.of();
    private long tightestStaleness = Long.MAX_VALUE;

    /** Adopts the classes of these settings; what the attempts of a class have shown stays with its name. */
    void apply(RouterSettings settings) {
        List<ClassStatistics> former = classes;
        classes = new ArrayList<>();
        tightestStaleness = Long.MAX_VALUE;
        double highest = 0;
        for (RequestClass requestClass : settings.classes()) {
            ClassStatistics statistics = new ClassStatistics(requestClass);
            former.stream()
                    .filter(each -> each.requestClass.name().equals(requestClass.name()))
                    .forEach(statistics::inherit);
            classes.add(statistics);
            highest = Math.max(highest, statistics.weightPerMicro());
            if (requestClass.consistency() == Consistency.BOUNDED_STALENESS) {
                tightestStaleness = Math.min(tightestStaleness, requestClass.maxStalenessMicros());
            }
        }
        for (ClassStatistics statistics : classes) {
            statistics.rank(highest);
        }
    }

    /** The class of this index in the settings. */
    ClassStatistics get(int index) {
        return classes.get(index);
    }

    /** The number of classes. */
    int size() {
        return classes.size();
    }

    /** The smallest staleness bound of all classes, in microseconds; {@link Long#MAX_VALUE} without bounded reads. */
    long tightestStaleness() {
        return tightestStaleness;
    }

    /** The mean latency over all classes, in microseconds. */
    double meanLatency() {
        double sum = 0;
        for (ClassStatistics statistics : classes) {
            sum += statistics.mean() / classes.size();
        }
        return sum;
    }

    /** A time, in microseconds, within which an endpoint with attempts in flight should have answered one, whatever the classes. */
    double patience() {
        double longest = classes.stream()
                .map(statistics -> statistics.latencyAbove(PATIENCE_DEVIATIONS))
                .max(Comparator.naturalOrder())
                .orElse(0.0);
        return PATIENCE_FACTOR * Math.max(0, longest);
    }
}
