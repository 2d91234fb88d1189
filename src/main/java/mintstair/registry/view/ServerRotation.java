package mintstair.registry.view;

import java.util.Arrays;
import java.util.Random;

/**
 * Selects which of the registry's servers to call. Each proxy uses its own random order, so that proxies that lose a
 * server at the same time spread over the others. Servers that lag are avoided for some time unless all lag. Not
 * thread-safe.
 */
final class ServerRotation {
    private static final long NO_CLUSTER_ID = 0;

    private final int[] order;
    private final long[] avoidedUntilMicros;
    /** The cluster id in the last response of each server; {@link #NO_CLUSTER_ID} before the first response. */
    private final long[] clusterIds;

    private int position;

    ServerRotation(int servers, Random random) {
        order = shuffled(servers, random);
        avoidedUntilMicros = new long[servers];
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

    /** Returns the index of the server to call now. */
    int current() {
        return order[position];
    }

    /**
     * Advances to the next server that is not avoided because it lags; if all are, to the one whose avoidance ends
     * first.
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
        return Math.max(0, avoidedUntilMicros[order[candidate]] - nowMicros);
    }

    /** Avoids the current server until this time. */
    void markCurrentLagging(long untilMicros) {
        avoidedUntilMicros[current()] = untilMicros;
    }

    /** Records that the current server responded as a member of this cluster. */
    void recordClusterId(long clusterId) {
        clusterIds[current()] = clusterId;
    }

    /**
     * Returns whether the majority of the servers last responded as members of this cluster. A minority may be
     * misconfigured or may have started without data, and must not replace the entries of the others.
     */
    boolean majorityIsOf(long clusterId) {
        return Arrays.stream(clusterIds).filter(id -> id == clusterId).count() * 2 > order.length;
    }
}
