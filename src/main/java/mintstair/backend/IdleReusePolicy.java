package mintstair.backend;

/**
 * How long a connection may have been idle and still be used. Hosts, and what lies between, drop idle connections before
 * the time in the settings and without a word; a request that meets this is lost, and a write may not be sent again. So
 * the ends of calls are counted by how long their connections had been idle, and where those that were idle for longer
 * break far oftener than the rest, they are not used.
 */
final class IdleReusePolicy {
    private static final long SHORTEST = 12_500;
    private static final int SPANS = 12;
    /** Spans below this are never given up: without any reuse each call would pay for a handshake. */
    private static final int FIRST_DOUBTED = 3;

    private static final double EVIDENCE = 3;
    private static final double OFTENER = 2;
    private static final double MARGIN = 0.1;
    /** Evidence fades, so that longer times are tried again. */
    private static final double HALF_LIFE = 15_000_000;

    private final double[] used = new double[SPANS];
    private final double[] broken = new double[SPANS];
    private long at;

    /** A call ended on a connection that had been idle for so long. */
    void ended(long now, long idle, boolean broke) {
        double kept = Math.pow(0.5, Math.max(0, now - at) / HALF_LIFE);
        at = Math.max(at, now);
        for (int i = 0; i < SPANS; i++) {
            used[i] *= kept;
            broken[i] *= kept;
        }
        int span = span(idle);
        used[span]++;
        broken[span] += broke ? 1 : 0;
    }

    private static int span(long idle) {
        int span = 0;
        while (span < SPANS - 1 && idle >= SHORTEST << span) {
            span++;
        }
        return span;
    }

    /** A connection idle for longer is not to be used; {@link Long#MAX_VALUE} where nothing speaks against any. */
    long longest() {
        double usedBefore = 1;
        double brokenBefore = 0;
        for (int i = 0; i < SPANS; i++) {
            double share = broken[i] / Math.max(1, used[i]);
            if (i >= FIRST_DOUBTED && broken[i] >= EVIDENCE && share > OFTENER * brokenBefore / usedBefore + MARGIN) {
                return SHORTEST << (i - 1);
            }
            usedBefore += used[i];
            brokenBefore += broken[i];
        }
        return Long.MAX_VALUE;
    }
}
