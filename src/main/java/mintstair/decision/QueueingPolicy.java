package mintstair.decision;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Decides how long a request may wait for capacity, and in what order the waiting requests are served. Times are
 * microseconds.
 */
final class QueueingPolicy {
    /**
     * Share of the client's timeout for which a request without attempts may wait: a client that is rejected early has
     * time for a retry.
     */
    private static final double UNSENT_SHARE = 0.45;
    /** Shares of the latency objective for which a request may wait for a primary and for a replica. */
    private static final double PRIMARY_WAIT_SHARE = 0.8;

    private static final double REPLICA_WAIT_SHARE = 0.13;

    private QueueingPolicy() {}

    /**
     * Returns the time until which the request may wait. While there is no usable primary, requests that need it and
     * whose late response has a value wait for a new primary as long as possible.
     */
    static long queueDeadline(InFlightRequest request, boolean hasUsablePrimary) {
        long latest = request.deadline - RetryPolicy.DEADLINE_MARGIN_MICROS;
        if (request.attempts() == 0) {
            long latestUnsent = request.arrivedAt + (long) (UNSENT_SHARE * request.request.timeoutMicros());
            latest = Math.min(latestUnsent, latest);
        }
        RequestClass requestClass = request.requestClass();
        if (request.needsPrimary() && requestClass.lateWeight() > 0 && !hasUsablePrimary) {
            return latest;
        }
        double share = request.needsPrimary() ? PRIMARY_WAIT_SHARE : REPLICA_WAIT_SHARE;
        return Math.min(latest, request.queuedAt + (long) (share * requestClass.latencyObjectiveMicros()));
    }

    /** Removes and returns all pending requests, by descending priority, and those of equal priority in their order. */
    static List<InFlightRequest> takeAllByPriority(ReplicaSet replicaSet) {
        if (replicaSet.pending.isEmpty()) {
            return List.of();
        }
        List<InFlightRequest> byPriority = new ArrayList<>(replicaSet.pending);
        byPriority.sort(Comparator.comparingDouble(request -> -request.statistics.priority()));
        replicaSet.pending.clear();
        return byPriority;
    }
}
