package mintstair.decision;

import java.util.Arrays;

/** Holds the request classes of the current settings with their statistics. Not safe for use by several threads. */
final class RequestClassTable {
    /** The reply timeout is this multiple of a latency this many mean deviations above the mean. */
    private static final double TIMEOUT_FACTOR = 2;

    private static final double TIMEOUT_DEVIATIONS = 2;

    private ClassStatistics[] classes = {};
    private long tightestStaleness = Long.MAX_VALUE;

    /** Applies the classes of these settings; a class keeps the measurements of the previous class of the same name. */
    void apply(RouterSettings settings) {
        ClassStatistics[] previous = classes;
        classes = new ClassStatistics[settings.classes().size()];
        tightestStaleness = Long.MAX_VALUE;
        double maxWeightPerMicro = 0;
        for (int index = 0; index < classes.length; index++) {
            RequestClass requestClass = settings.classes().get(index);
            ClassStatistics statistics = new ClassStatistics(requestClass);
            Arrays.stream(previous)
                    .filter(each -> each.requestClass.name().equals(requestClass.name()))
                    .forEach(statistics::copyMeasurements);
            classes[index] = statistics;
            maxWeightPerMicro = Math.max(maxWeightPerMicro, statistics.weightPerMicro());
            if (requestClass.consistency() == Consistency.BOUNDED_STALENESS) {
                tightestStaleness = Math.min(tightestStaleness, requestClass.maxStalenessMicros());
            }
        }
        for (ClassStatistics statistics : classes) {
            statistics.setPriority(maxWeightPerMicro);
        }
    }

    /** Returns the statistics of the class with this index in the settings. */
    ClassStatistics get(int index) {
        return classes[index];
    }

    /** Returns the number of classes. */
    int size() {
        return classes.length;
    }

    /**
     * Returns the smallest staleness bound of all classes, in microseconds; {@link Long#MAX_VALUE} if there are no
     * reads with bounded staleness.
     */
    long tightestStaleness() {
        return tightestStaleness;
    }

    /** Returns the mean of the classes' mean latencies, in microseconds. */
    double meanLatency() {
        double sum = 0;
        for (ClassStatistics statistics : classes) {
            sum += statistics.meanLatency() / classes.length;
        }
        return sum;
    }

    /**
     * Returns the time, in microseconds, within which an endpoint with attempts in flight should have sent a reply to
     * one of them, whatever their classes are.
     */
    double replyTimeout() {
        double longest = 0;
        for (ClassStatistics statistics : classes) {
            longest = Math.max(longest, statistics.meanPlusDeviations(TIMEOUT_DEVIATIONS));
        }
        return TIMEOUT_FACTOR * longest;
    }
}
