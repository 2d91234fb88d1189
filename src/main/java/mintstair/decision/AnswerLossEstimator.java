package mintstair.decision;

/**
 * Tells whether answers get lost on their way: more of them are missing than the latencies of those that come
 * explain. Not safe for use by several threads.
 */
final class AnswerLossEstimator {
    /** Share of missing answers, over what latencies explain, from which on answers count as being lost. */
    private static final double LOSS_THRESHOLD = 0.1;
    /** Weight of the newest attempt in the mean. */
    private static final double NEWEST_WEIGHT = 0.05;

    private static final double MIN_ANSWER_TIME = 0.05;

    private final PooledLimits pooled;
    private double lostShare;

    AnswerLossEstimator(PooledLimits pooled) {
        this.pooled = pooled;
    }

    /** An attempt was answered well, or its answer was lost. */
    void record(boolean lost) {
        lostShare += NEWEST_WEIGHT * ((lost ? 1 : 0) - lostShare);
    }

    /** Whether answers get lost, rather than late by overload. */
    boolean isLosingReplies() {
        double answerTime = Math.max(MIN_ANSWER_TIME, pooled.replicas().answerTime());
        boolean swift = answerTime < ConcurrencyLimit.SWIFT * ConcurrencyLimit.STRAIN_AIM;
        return swift && lostShare > LOSS_THRESHOLD + Math.exp(-1 / answerTime);
    }
}
