package mintstair.backend;

/**
 * Limits how long a connection may have been idle and still be reused. Hosts, and middleboxes on the path, drop idle
 * connections before the configured timeout and without notice. A request sent on such a connection is lost, and a
 * write may not be retried. The outcomes of attempts are therefore counted by how long their connections had been idle;
 * idle times after which connections break far more often than after shorter ones are avoided. All methods run on the
 * event loop.
 */
final class IdleReusePolicy {
    /** The upper bound of the first bucket of idle times. Each further bucket has twice the bound of the one before. */
    private static final long FIRST_BUCKET_MICROS = 12_500;

    private static final int BUCKETS = 12;
    /** The first bucket that may be avoided. Without any reuse, each attempt would need a handshake. */
    private static final int FIRST_AVOIDABLE_BUCKET = 3;

    private static final double MIN_BROKEN = 3;
    private static final double MIN_RATIO = 2;
    private static final double MIN_EXCESS = 0.1;
    /** The half-life of all counts, which decay so that an avoided bucket is tried again. */
    private static final double HALF_LIFE_MICROS = 15_000_000;

    private final double[] used = new double[BUCKETS];
    private final double[] broken = new double[BUCKETS];
    private long decayedAtMicros;

    /**
     * Counts the outcome of an attempt.
     *
     * @param idleMicros how long the connection had been idle before the attempt
     * @param isBroken whether the connection broke without a reply
     */
    void recordOutcome(long nowMicros, long idleMicros, boolean isBroken) {
        decay(nowMicros);
        int bucket = bucket(idleMicros);
        used[bucket]++;
        broken[bucket] += isBroken ? 1 : 0;
    }

    private void decay(long nowMicros) {
        double remaining = Math.pow(0.5, Math.max(0, nowMicros - decayedAtMicros) / HALF_LIFE_MICROS);
        decayedAtMicros = Math.max(decayedAtMicros, nowMicros);
        for (int bucket = 0; bucket < BUCKETS; bucket++) {
            used[bucket] *= remaining;
            broken[bucket] *= remaining;
        }
    }

    private static int bucket(long idleMicros) {
        int bucket = 0;
        while (bucket < BUCKETS - 1 && idleMicros >= FIRST_BUCKET_MICROS << bucket) {
            bucket++;
        }
        return bucket;
    }

    /** Returns the longest idle time of a connection that may be reused, or {@link Long#MAX_VALUE} for no limit. */
    long maxIdleMicros() {
        double usedBefore = 1;
        double brokenBefore = 0;
        for (int bucket = 0; bucket < BUCKETS; bucket++) {
            if (bucket >= FIRST_AVOIDABLE_BUCKET && breaksMoreOften(bucket, brokenBefore / usedBefore)) {
                return FIRST_BUCKET_MICROS << (bucket - 1);
            }
            usedBefore += used[bucket];
            brokenBefore += broken[bucket];
        }
        return Long.MAX_VALUE;
    }

    /**
     * Returns whether connections in a bucket break far more often than those in the lower buckets: a minimum number
     * must have broken, and their share must exceed that of the lower buckets by both a factor and a margin.
     *
     * @param rateBefore the share of broken connections in the lower buckets
     */
    private boolean breaksMoreOften(int bucket, double rateBefore) {
        double rate = broken[bucket] / Math.max(1, used[bucket]);
        return broken[bucket] >= MIN_BROKEN && rate > MIN_RATIO * rateBefore + MIN_EXCESS;
    }
}
