package mintstair.decision;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Decides how long a request may wait for capacity, and in what order those that wait are served. Times are
 * microseconds.
 */
final class QueueingPolicy {
    /**
     * Share of the client's time for which a request is held of which nothing was sent: rejected early, a client may
     * yet be served.
     */
    private static final double UNSENT_SHARE = 0.45;
    /** Share of its latency objective for which a request waits for a primary, and for a replica. */
    private static final double PRIMARY_WAIT_SHARE = 0.8;

    private static final double REPLICA_WAIT_SHARE = 0.13;

    private QueueingPolicy() {}

    /** Until when the request may wait. Writes are held through the loss of a primary. */
    static long queueDeadline(InFlightRequest request, boolean hasUsablePrimary) {
        long latest = request.deadline - RetryPolicy.DEADLINE_MARGIN_MICROS;
        if (request.attempts() == 0) {
            long unsent = request.arrivedAt + (long) (UNSENT_SHARE * request.request.timeoutMicros());
            latest = Math.min(unsent, latest);
        }
        RequestClass requestClass = request.requestClass();
        if (request.needsPrimary() && requestClass.lateWeight() > 0 && !hasUsablePrimary) {
            return latest;
        }
        double share = request.needsPrimary() ? PRIMARY_WAIT_SHARE : REPLICA_WAIT_SHARE;
        return Math.min(latest, request.queuedAt + (long) (share * requestClass.latencyObjectiveMicros()));
    }

    /** Takes all pending requests out of the queue, those of the highest priority first and else in their order. */
    static List<InFlightRequest> takeAllByPriority(ReplicaSet replicaSet) {
        if (replicaSet.pending.isEmpty()) {
            return List.of();
        }
        List<InFlightRequest> inOrder = new ArrayList<>(replicaSet.pending);
        inOrder.sort(Comparator.comparingDouble(request -> -request.statistics.priority()));
        replicaSet.pending.clear();
        return inOrder;
    }
}
