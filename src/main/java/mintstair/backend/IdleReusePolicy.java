package mintstair.backend;

/**
 * For how long a connection may have been idle and still be used. Hosts, and middleboxes on the way, drop idle
 * connections before the configured limit and without notice; a request sent on one is lost, and a write may not be
 * sent again. So the outcomes of attempts are counted by how long their connections had been idle, and where
 * connections idle for longer break far more often than the others, they are not used. Runs on the event loop.
 */
final class IdleReusePolicy {
    /** Idle times are counted in buckets: up to this, up to twice this, up to four times this and so on. */
    private static final long FIRST_BUCKET_MICROS = 12_500;

    private static final int BUCKETS = 12;
    /** Lower buckets are always used: without any reuse each attempt would need a handshake. */
    private static final int FIRST_AVOIDABLE_BUCKET = 3;

    private static final double MIN_BROKEN = 3;
    private static final double MIN_RATIO = 2;
    private static final double MIN_EXCESS = 0.1;
    /** Counts decay, so that a bucket that was avoided is tried again. */
    private static final double HALF_LIFE_MICROS = 15_000_000;

    private final double[] used = new double[BUCKETS];
    private final double[] broken = new double[BUCKETS];
    private long decayedAtMicros;

    /** Counts the end of an attempt on a connection that had been idle for so long before it. */
    void record(long nowMicros, long idleMicros, boolean broke) {
        decay(nowMicros);
        int bucket = bucket(idleMicros);
        used[bucket]++;
        broken[bucket] += broke ? 1 : 0;
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

    /** Connections that have been idle for longer are not to be used; {@link Long#MAX_VALUE} for no limit. */
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

    private boolean breaksMoreOften(int bucket, double rateBefore) {
        double rate = broken[bucket] / Math.max(1, used[bucket]);
        return broken[bucket] >= MIN_BROKEN && rate > MIN_RATIO * rateBefore + MIN_EXCESS;
    }
}
