package mintstair.decision;

/**
 * Estimates whether replies of database hosts are lost on the network: more attempts end without a reply than the
 * latencies of the received replies explain. Not safe for use by several threads.
 */
final class AnswerLossEstimator {
    /** Share of missing replies, beyond what the latencies explain, above which replies are considered lost. */
    private static final double LOSS_THRESHOLD = 0.1;
    /** Weight of the newest attempt in the moving average. */
    private static final double NEWEST_WEIGHT = 0.05;
    /** Lower bound of the ratio of mean latency to latency objective. */
    private static final double MIN_LATENCY_RATIO = 0.05;

    private final PooledLimits pooled;
    private double lostShare;

    AnswerLossEstimator(PooledLimits pooled) {
        this.pooled = pooled;
    }

    /** Records an attempt that succeeded, or whose reply was lost. */
    void record(boolean lost) {
        lostShare += NEWEST_WEIGHT * ((lost ? 1 : 0) - lostShare);
    }

    /** Returns whether replies are lost rather than delayed by overload, which slow replies would show. */
    boolean isLosingReplies() {
        double latencyRatio = Math.max(MIN_LATENCY_RATIO, pooled.replicas().meanLatencyRatio());
        boolean fast = latencyRatio < ConcurrencyLimit.FAST_REPLY_FACTOR * ConcurrencyLimit.TARGET_LATENCY_RATIO;
        // Of exponentially distributed latencies, the share exp(-1 / ratio) exceeds the objective.
        return fast && lostShare > LOSS_THRESHOLD + Math.exp(-1 / latencyRatio);
    }
}
