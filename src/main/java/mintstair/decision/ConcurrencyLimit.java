package mintstair.decision;

/**
 * Adapts a limit of requests in flight to the latency of replies. The limit applies to a primary, or to each replica of
 * a replica set on average. Fast replies raise it; slow or missing replies and rejections by hosts lower it; without
 * replies a lowered limit returns to its initial value. Latencies are given as ratios to the latency objective of the
 * request class. Times are microseconds. Not safe for use by several threads.
 */
final class ConcurrencyLimit {
    /**
     * Mean ratio of latency to objective above which hosts count as overloaded. The slowest replies take about twice
     * this.
     */
    static final double TARGET_LATENCY_RATIO = 0.45;
    /** Latency ratio of an attempt that was rejected or got no reply, and upper bound of all latency ratios. */
    static final double MAX_LATENCY_RATIO = 1.5;
    /** Replies are fast if they take less than this multiple of {@link #TARGET_LATENCY_RATIO}. */
    static final double FAST_REPLY_FACTOR = 0.75;
    /** The pooled limit weighs as much as this many samples of a single replica set. */
    static final double POOLED_SAMPLES = 5;

    /** Initial limit of all routers together, and the lower bound of each router's initial limit. */
    private static final double INITIAL_LIMIT_OF_FLEET = 16;

    private static final double MIN_INITIAL_LIMIT = 2;
    /** Smallest limit of all routers together, and of each: large enough to detect a recovery. */
    private static final double MIN_LIMIT_OF_FLEET = 2;

    private static final double MIN_LIMIT = 0.02;
    /** Share of the limit by which a fast reply raises it, and by which a slow reply lowers it. */
    private static final double INCREASE_STEP = 0.02;

    private static final double DECREASE_STEP = 0.03;
    /** A rejection lowers the limit by this many decrease steps. */
    private static final double REJECTION_STEPS = 10;
    /** On overload the limit is first cut to this multiple of its usage. */
    private static final double MAX_LIMIT_TO_USAGE = 1;
    /** The weight of a sample is the time since the previous one in these intervals, from 1 to the maximum weight. */
    private static final double SAMPLE_INTERVAL_MICROS = 100_000;

    private static final double MAX_SAMPLE_WEIGHT = 10;
    /** Time constant of the decay without samples. */
    private static final double DECAY_MICROS = 10_000_000;
    /** Weight of the newest sample in the moving averages, for each unit of sample weight and at most. */
    private static final double NEWEST_WEIGHT = 0.1;

    private static final double MAX_NEWEST_WEIGHT = 0.4;

    private final double slowReplyFloor;
    private final ConcurrencyLimit pooled;
    private double fleetSize;
    private double minLimit;
    private double initialLimit;
    private double limit;
    /** Mean latency ratio, in which missing replies count as far as overload explains them. */
    private double loadRatio;
    /** Mean latency ratio of the replies that were received. */
    private double replyRatio;

    private double missingShare;
    /** The number of samples, which decays with time. */
    private double sampleCount;

    private double usage = 1;
    private long updatedAt;

    /**
     * Creates a limit without samples.
     *
     * @param fleetSize the number of routers that share the hosts; each router has an equal part
     * @param pooled the limit over all replica sets, which is used while this one has few samples; null for none
     * @param slowReplyFloor the limit below which slow replies alone do not lower it; 1 at a primary, for writes
     */
    ConcurrencyLimit(double fleetSize, ConcurrencyLimit pooled, double slowReplyFloor) {
        this.slowReplyFloor = slowReplyFloor;
        this.pooled = pooled;
        this.fleetSize = fleetSize;
        setFleetSize(fleetSize);
        limit = initialLimit;
    }

    /** Changes the number of routers that share the hosts, and scales the limit accordingly. */
    void setFleetSize(double newFleetSize) {
        minLimit = Math.max(MIN_LIMIT, MIN_LIMIT_OF_FLEET / newFleetSize);
        initialLimit = Math.max(MIN_INITIAL_LIMIT, INITIAL_LIMIT_OF_FLEET / newFleetSize);
        limit = Math.max(minLimit, limit * fleetSize / newFleetSize);
        fleetSize = newFleetSize;
    }

    /** Decays the sample count, and raises a lowered limit towards its initial value, by the time without samples. */
    private void decay(long now) {
        double kept = Math.exp(-Math.max(0, now - updatedAt - SAMPLE_INTERVAL_MICROS) / DECAY_MICROS);
        sampleCount *= kept;
        if (limit < initialLimit) {
            limit = Math.min(initialLimit, limit / kept);
        }
        updatedAt = Math.max(updatedAt, now);
    }

    /**
     * Records an attempt that got a reply, or is late or got none.
     *
     * @param latencyRatio the latency as a ratio to the latency objective, at most {@link #MAX_LATENCY_RATIO}
     * @param replied whether the host sent any reply, or may still send one
     * @param rejected whether the host rejected the attempt
     * @param inFlight the number of requests in flight that the limit applies to
     * @param perAttempt by how much one more attempt raises that number
     */
    void sample(long now, double latencyRatio, boolean replied, boolean rejected, double inFlight, double perAttempt) {
        double weight = Math.max(1, Math.min(MAX_SAMPLE_WEIGHT, (now - updatedAt) / SAMPLE_INTERVAL_MICROS));
        decay(now);
        sampleCount++;
        usage += NEWEST_WEIGHT * (inFlight + perAttempt - usage);
        updateRatios(Math.min(MAX_NEWEST_WEIGHT, NEWEST_WEIGHT * weight), latencyRatio, replied);
        // A limit far above its usage has no effect, so a decrease starts from the usage.
        double decreased = limit * (1 - DECREASE_STEP * (rejected ? REJECTION_STEPS : weight));
        // Slow replies leave a primary one request in flight: below that, a router that gets few replies would hold
        // back writes from a primary that has none of its requests. Rejections and missing replies lower it further.
        double floor =
                latencyRatio < MAX_LATENCY_RATIO ? Math.max(minLimit, Math.min(slowReplyFloor, limit)) : minLimit;
        if (rejected) {
            limit = Math.max(minLimit, decreased);
        } else if (isAboveTargetLatency()) {
            limit = Math.max(floor, Math.min(decreased, MAX_LIMIT_TO_USAGE * usage));
        } else if (inFlight > 0.5 * limit || limit < initialLimit) {
            limit *= 1 + INCREASE_STEP * weight;
        }
        if (pooled != null) {
            pooled.sample(now, latencyRatio, replied, false, inFlight, perAttempt);
        }
    }

    private void updateRatios(double newestWeight, double latencyRatio, boolean replied) {
        if (replied) {
            replyRatio += newestWeight * (latencyRatio - replyRatio);
        }
        // Missing replies while the others are fast are taken for lost, unless more than half of all are missing.
        missingShare += newestWeight * ((replied ? 0 : 1) - missingShare);
        double ratioToFast = missingShare > 0.5 ? 1 : replyRatio / TARGET_LATENCY_RATIO / FAST_REPLY_FACTOR;
        loadRatio += newestWeight
                * ((replied ? latencyRatio : MAX_LATENCY_RATIO * Math.min(1, ratioToFast * ratioToFast)) - loadRatio);
    }

    /** Returns the limit: the mean of this one and the pooled limit, weighted by the number of samples of this one. */
    double value(long now) {
        decay(now);
        if (pooled == null) {
            return limit;
        }
        return (sampleCount * limit + POOLED_SAMPLES * pooled.value(now)) / (sampleCount + POOLED_SAMPLES);
    }

    /** Returns whether replies take a larger share of their latency objectives than they should. */
    boolean isAboveTargetLatency() {
        return loadRatio > TARGET_LATENCY_RATIO;
    }

    /** Returns the mean ratio of latency to objective of the replies that were received. */
    double meanLatencyRatio() {
        return replyRatio;
    }

    /** Returns the number of samples that the limit rests on, which decays with time. */
    double sampleCount() {
        return sampleCount;
    }
}
