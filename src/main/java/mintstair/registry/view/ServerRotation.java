package mintstair.registry.view;

import java.util.Arrays;
import java.util.Random;

/**
 * Which of the registry's servers to call. Each proxy goes through them in a random order of its own, so that proxies
 * that lose a server together spread over the others. Servers that lag are avoided for a while, unless all do. Not
 * thread-safe.
 */
final class ServerRotation {
    private static final long NO_CLUSTER_ID = 0;

    private final int[] order;
    private final long[] laggingUntil;
    /** The cluster id that each server last responded with; {@link #NO_CLUSTER_ID} for none yet. */
    private final long[] clusterIds;

    private int position;

    ServerRotation(int servers, Random random) {
        order = shuffled(servers, random);
        laggingUntil = new long[servers];
        clusterIds = new long[servers];
        Arrays.fill(clusterIds, NO_CLUSTER_ID);
    }

    private static int[] shuffled(int servers, Random random) {
        int[] order = new int[servers];
        for (int i = 0; i < servers; i++) {
            int swapped = random.nextInt(i + 1);
            order[i] = order[swapped];
            order[swapped] = i;
        }
        return order;
    }

    int size() {
        return order.length;
    }

    int current() {
        return order[position];
    }

    /**
     * Goes on to the next server that is not known to lag, or else to the one that is avoided for the shortest time
     * still.
     */
    void advance(long nowMicros) {
        int best = (position + 1) % order.length;
        for (int step = 2; step <= order.length; step++) {
            int candidate = (position + step) % order.length;
            if (avoidedMicros(candidate, nowMicros) < avoidedMicros(best, nowMicros)) {
                best = candidate;
            }
        }
        position = best;
    }

    private long avoidedMicros(int candidate, long nowMicros) {
        return Math.max(0, laggingUntil[order[candidate]] - nowMicros);
    }

    void markCurrentLagging(long untilMicros) {
        laggingUntil[current()] = untilMicros;
    }

    /** The current server responded as a member of this cluster. */
    void recordClusterId(long clusterId) {
        clusterIds[current()] = clusterId;
    }

    /**
     * Whether the majority of the servers last responded as members of this cluster. A minority, which may be
     * misconfigured or have come up empty, must not replace what the others hold.
     */
    boolean majorityIsOf(long clusterId) {
        return Arrays.stream(clusterIds).filter(id -> id == clusterId).count() * 2 > order.length;
    }
}
