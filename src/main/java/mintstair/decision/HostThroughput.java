package mintstair.decision;

/**
 * How much of this router's work one warm host does in a second, in the mean over all hosts. What all routers together
 * find so is no more than a host can do, however much clients ask for: only answers count. A router that has just begun
 * assumes for 0.3 s, and less from moment to moment, that hosts do what clients ask for; it knows little of
 * that then either. Later it errs on the low side. A time in which no host was there to answer leaves it as it was.
 * Times are microseconds. Not safe for use by several threads.
 */
final class HostThroughput {
    private static final double MICROS_PER_SECOND = 1e6;
    private static final double LONGEST_MEMORY_MICROS = 30_000_000;
    private static final double SHORTEST_MEMORY_MICROS = 500_000;
    /**
     * The memory is this part of the time observed, so that a router whose hosts all start with it follows what they
     * come to do.
     */
    private static final double MEMORY_OF_OBSERVED = 0.5;

    private static final long ADVANCE_INTERVAL_MICROS = 100_000;
    /** Added to the time of each host: the first answers of a short time are taken for chance. */
    private static final double UNSURE_MICROS = 100_000;
    /** For so long after it began to observe, ever less is assumed of what has not shown. */
    private static final double ASSUMING_MICROS = 300_000;

    /** The work answered, and the time in which each warm host could have answered; cold ones count in part. */
    private double answeredWork;

    private double hostMicros;
    private double observedMicros;
    private long advancedAt = Endpoint.NEVER;
    private int hosts = 1;
    private double warmHosts = 1;
    private double meanSize = 1;

    /** A host has served a request. */
    void recordServed(double work) {
        answeredWork += work;
    }

    /** Whether {@link #advance} is due. */
    boolean isDue(long now) {
        return now - advancedAt >= ADVANCE_INTERVAL_MICROS;
    }

    /**
     * Since the last call so many hosts were there.
     *
     * @param warmThere the same, with those in slow start counted by their share
     * @param sizes the sum of their sizes by the endpoint list
     */
    void advance(long now, int hostsThere, double warmThere, double sizes) {
        long passed = advancedAt == Endpoint.NEVER ? 0 : now - advancedAt;
        advancedAt = Math.max(advancedAt, now);
        if (hostsThere == 0) {
            return;
        }
        hosts = hostsThere;
        warmHosts = warmThere;
        meanSize = sizes / hostsThere;
        observedMicros += passed;
        double kept = Math.exp(-passed / memoryMicros());
        answeredWork *= kept;
        hostMicros = (hostMicros + warmThere * passed) * kept;
    }

    private double memoryMicros() {
        double growing = Math.max(SHORTEST_MEMORY_MICROS, MEMORY_OF_OBSERVED * observedMicros);
        return Math.min(LONGEST_MEMORY_MICROS, growing);
    }

    /**
     * The work that a warm host of this size does in a second for this router, whose clients ask for so much in all. A
     * large one counts as one of the mean: sizes are rough, and some tell how busy a host was.
     */
    double workPerSecond(double size, double demandPerSecond) {
        double relativeSize = size > 0 ? Math.min(1, size / meanSize) : 1;
        return relativeSize * perMeanHostSecond(demandPerSecond);
    }

    private double perMeanHostSecond(double demandPerSecond) {
        double unsureMicros = warmHosts * UNSURE_MICROS;
        double assuming = Math.max(0, 1 - observedMicros / ASSUMING_MICROS);
        double assumedWork = assuming * demandPerSecond / hosts * unsureMicros / MICROS_PER_SECOND;
        return (answeredWork + assumedWork) * MICROS_PER_SECOND / (hostMicros + unsureMicros);
    }
}
