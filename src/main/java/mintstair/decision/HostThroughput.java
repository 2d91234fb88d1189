package mintstair.decision;

/**
 * Estimates how much of this router's work one warm host completes per second, on average over all hosts.
 *
 * <p>Only completed work counts, however much clients demand, so the estimates of all routers add up to no more than a
 * host can do. For the first 0.3 s of observation, with decreasing weight, a router assumes that hosts complete what
 * clients demand, of which it knows little then either; later the estimate errs on the low side. The estimate does not
 * change while no host is available. Times are microseconds. Not safe for use by several threads.
 */
final class HostThroughput {
    private static final double MICROS_PER_SECOND = 1e6;
    private static final double MAX_MEMORY_MICROS = 30_000_000;
    private static final double MIN_MEMORY_MICROS = 500_000;
    /**
     * The time constant of the decay is this part of the time observed, so that a router that starts together with its
     * hosts follows them as their throughput rises.
     */
    private static final double MEMORY_TO_OBSERVED = 0.5;

    private static final long ADVANCE_INTERVAL_MICROS = 100_000;
    /** Added to the time of each host, so that a few early replies do not give a high estimate by chance. */
    private static final double UNCERTAINTY_MICROS = 100_000;
    /** Time of observation after which nothing is assumed any more. */
    private static final double ASSUMPTION_MICROS = 300_000;

    private double completedWork;
    /** The time in which hosts were available, summed over hosts; those in slow start count by their capacity share. */
    private double hostMicros;

    private double observedMicros;
    private long advancedAt = Endpoint.NEVER;
    private int hosts = 1;
    private double warmHosts = 1;
    private double meanCapacityHint = 1;

    /** Records the work of a request that a host has served. */
    void recordServed(double work) {
        completedWork += work;
    }

    /** Returns whether {@link #advance} is due. */
    boolean isDue(long now) {
        return now - advancedAt >= ADVANCE_INTERVAL_MICROS;
    }

    /**
     * Accounts for the time since the last call.
     *
     * @param availableHosts the number of hosts that were available
     * @param warmAvailableHosts the same, where those in slow start count by their capacity share
     * @param totalCapacityHint the sum of the capacity hints of these hosts in the endpoint list
     */
    void advance(long now, int availableHosts, double warmAvailableHosts, double totalCapacityHint) {
        long elapsed = advancedAt == Endpoint.NEVER ? 0 : now - advancedAt;
        advancedAt = Math.max(advancedAt, now);
        if (availableHosts == 0) {
            return;
        }
        hosts = availableHosts;
        warmHosts = warmAvailableHosts;
        meanCapacityHint = totalCapacityHint / availableHosts;
        observedMicros += elapsed;
        double kept = Math.exp(-elapsed / memoryMicros());
        completedWork *= kept;
        hostMicros = (hostMicros + warmAvailableHosts * elapsed) * kept;
    }

    private double memoryMicros() {
        double growing = Math.max(MIN_MEMORY_MICROS, MEMORY_TO_OBSERVED * observedMicros);
        return Math.min(MAX_MEMORY_MICROS, growing);
    }

    /**
     * Returns the work per second that a warm host with this capacity hint completes for this router. A hint above the
     * mean counts as the mean: hints are rough, and some reflect how busy a host was.
     *
     * @param capacityHint the hint of the host in the endpoint list; 0 or less where unknown
     * @param demandPerSecond the work per second that this router's clients demand of all hosts together
     */
    double workPerSecond(double capacityHint, double demandPerSecond) {
        double relativeCapacity = capacityHint > 0 ? Math.min(1, capacityHint / meanCapacityHint) : 1;
        return relativeCapacity * meanWorkPerSecond(demandPerSecond);
    }

    private double meanWorkPerSecond(double demandPerSecond) {
        double uncertainMicros = warmHosts * UNCERTAINTY_MICROS;
        double assumedShare = Math.max(0, 1 - observedMicros / ASSUMPTION_MICROS);
        double assumedWork = assumedShare * demandPerSecond / hosts * uncertainMicros / MICROS_PER_SECOND;
        return (completedWork + assumedWork) * MICROS_PER_SECOND / (hostMicros + uncertainMicros);
    }
}
