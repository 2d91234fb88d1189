package mintstair.decision;

import java.util.Arrays;

/** The classes of the current settings, each with its statistics. Not safe for use by several threads. */
final class RequestClassTable {
    private static final double PATIENCE_DEVIATIONS = 2;
    private static final double PATIENCE_FACTOR = 2;

    private ClassStatistics[] classes = {};
    private long tightestStaleness = Long.MAX_VALUE;

    /** Adopts the classes of these settings; what the attempts of a class have shown stays with its name. */
    void apply(RouterSettings settings) {
        ClassStatistics[] former = classes;
        classes = new ClassStatistics[settings.classes().size()];
        tightestStaleness = Long.MAX_VALUE;
        double highest = 0;
        for (int index = 0; index < classes.length; index++) {
            RequestClass requestClass = settings.classes().get(index);
            ClassStatistics statistics = new ClassStatistics(requestClass);
            Arrays.stream(former)
                    .filter(each -> each.requestClass.name().equals(requestClass.name()))
                    .forEach(statistics::inherit);
            classes[index] = statistics;
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
        return classes[index];
    }

    /** The number of classes. */
    int size() {
        return classes.length;
    }

    /** The smallest staleness bound of all classes, in microseconds; {@link Long#MAX_VALUE} without bounded reads. */
    long tightestStaleness() {
        return tightestStaleness;
    }

    /** The mean latency over all classes, in microseconds. */
    double meanLatency() {
        double sum = 0;
        for (ClassStatistics statistics : classes) {
            sum += statistics.meanLatency() / classes.length;
        }
        return sum;
    }

    /**
     * A time, in microseconds, within which an endpoint with attempts in flight should have answered one, whatever
     * the classes.
     */
    double replyTimeout() {
        double longest = 0;
        for (ClassStatistics statistics : classes) {
            longest = Math.max(longest, statistics.meanPlusDeviations(PATIENCE_DEVIATIONS));
        }
        return PATIENCE_FACTOR * longest;
    }
}
