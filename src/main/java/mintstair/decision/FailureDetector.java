package mintstair.decision;

import java.util.function.Supplier;

/**
 * Detects unresponsive endpoints. An endpoint is unresponsive if two consecutive attempts or health checks did not
 * reach it, or if requests are in flight there and far more replies are overdue than chance explains. Replies that
 * were missed while this process was paused do not count. Times are in microseconds. Not safe for use by several
 * threads.
 */
final class FailureDetector {
    /**
     * The expected number of replies since the last one, above which an endpoint is unresponsive. A healthy endpoint
     * exceeds it by chance in one of e^7 checks.
     */
    private static final double MAX_MISSED_REPLIES = 7;
    /** The number of requests that must be without a reply: a single one may just be slow. */
    private static final int MIN_UNANSWERED = 3;
    /** The number of consecutive unreachable results that make an endpoint unresponsive. */
    private static final int MAX_UNREACHABLE = 2;
    /**
     * For this long after any endpoint was unreachable, only endpoints that have replied within the same time are
     * trusted without a health check.
     */
    private static final long SUSPICION_MICROS = 5_000_000;

    /** Is notified of endpoints that become unresponsive. */
    interface Listener {
        /** The endpoint has become unresponsive; attempts that are in flight there may be retried elsewhere. */
        void onUnresponsive(long now, Endpoint endpoint);
    }

    private final Supplier<RouterSettings> settings;
    private final RequestClassTable classes;
    private final RouterClock clock;
    private final PositionClock positions;
    private final SlowStartController slowStarts;
    private final RouterActions actions;
    private final Listener listener;
    private long lastUnreachableAt = Endpoint.NEVER;

    FailureDetector(
            Supplier<RouterSettings> settings,
            RequestClassTable classes,
            RouterClock clock,
            PositionClock positions,
            SlowStartController slowStarts,
            RouterActions actions,
            Listener listener) {
        this.settings = settings;
        this.classes = classes;
        this.clock = clock;
        this.positions = positions;
        this.slowStarts = slowStarts;
        this.actions = actions;
        this.listener = listener;
    }

    /** Adds the replies that were expected since the last call; must be called before the endpoint's load changes. */
    void accrueMissedReplies(long now, Endpoint endpoint) {
        Liveness liveness = endpoint.liveness;
        long from = Math.max(liveness.accruedAt, clock.runningSince());
        double expectedLatency = classes.meanLatency() * Math.max(1, endpoint.outliers.slowdown());
        liveness.missedReplies += endpoint.inFlight * Math.max(0, now - from) / expectedLatency;
        liveness.accruedAt = now;
        if (endpoint.inFlight + liveness.timeouts == 0) {
            liveness.clearMissedReplies(now);
        }
    }

    /**
     * Marks an endpoint as unresponsive if it has requests in flight and too many replies are overdue.
     *
     * @param replyTimeout the time, in microseconds, within which an endpoint with requests in flight should answer one
     */
    void checkForMissedReplies(long now, Endpoint endpoint, double replyTimeout) {
        accrueMissedReplies(now, endpoint);
        Liveness liveness = endpoint.liveness;
        ReplicaSet replicaSet = endpoint.replicaSet;
        // A primary whose replicas still advance is slow, but alive.
        boolean isReplicating = endpoint.isPrimary()
                && positions.localTimeOf(replicaSet.number, now, replicaSet.newestPosition) > now - replyTimeout;
        boolean hasSeveralUnanswered = endpoint.inFlight + liveness.timeouts >= MIN_UNANSWERED;
        long since = Math.max(liveness.answeredAt, clock.runningSince());
        boolean isOverdue = liveness.missedReplies > MAX_MISSED_REPLIES && now - since > replyTimeout;
        if (!liveness.isUnresponsive() && isOverdue && hasSeveralUnanswered && !isReplicating) {
            markUnresponsive(now, endpoint, "no replies to the requests in flight");
        }
    }

    /**
     * Records a reply of the endpoint. If the endpoint was unresponsive because it was unreachable, it is assumed to
     * have restarted.
     *
     * @param servedRequest whether the reply is to a request. A process that hangs may still reply to health checks, so
     *     those make an endpoint responsive only after it has been unresponsive for a while.
     */
    void endpointReplied(long now, Endpoint endpoint, boolean servedRequest) {
        Liveness liveness = endpoint.liveness;
        liveness.lastReplyAt = now;
        boolean wasUnreachable = liveness.consecutiveUnreachable > 0;
        if (liveness.isUnresponsive() && wasUnreachable) {
            slowStarts.startDetected(endpoint, now);
        }
        boolean isLongUnresponsive = liveness.isUnresponsive() && now - liveness.unresponsiveSince() > SUSPICION_MICROS;
        if (servedRequest || wasUnreachable || isLongUnresponsive) {
            if (liveness.isUnresponsive()) {
                actions.log("responsive " + endpoint.name);
            }
            liveness.markResponsive();
            liveness.clearMissedReplies(now);
        }
        liveness.consecutiveUnreachable = 0;
    }

    /** Records a sign of life that says nothing about the state of the endpoint. */
    void endpointAlive(long now, Endpoint endpoint) {
        endpoint.liveness.lastReplyAt = now;
        endpoint.liveness.consecutiveUnreachable = 0;
    }

    /**
     * Records that an attempt or a health check did not reach the endpoint. The endpoint is due for a health check at
     * once, because its whole zone may have failed.
     */
    void endpointUnreachable(long now, Endpoint endpoint) {
        lastUnreachableAt = now;
        endpoint.healthCheck.dueAt = Math.min(endpoint.healthCheck.dueAt, now);
        endpoint.replication.reportedAt = 0;
        endpoint.liveness.consecutiveUnreachable++;
        if (endpoint.liveness.consecutiveUnreachable >= MAX_UNREACHABLE && !endpoint.liveness.isUnresponsive()) {
            markUnresponsive(now, endpoint, "unreachable");
        }
    }

    /**
     * Records that a health check had no reply. It is no evidence against an endpoint that has answered a request since
     * the check was sent.
     */
    void healthCheckUnanswered(long now, Endpoint endpoint) {
        long lastAnswerAt = Math.max(endpoint.liveness.answeredAt, clock.runningSince());
        if (lastAnswerAt < endpoint.healthCheck.sentAt) {
            endpointUnreachable(now, endpoint);
        }
    }

    /**
     * Returns whether the endpoint may be used without a health check. If any endpoint was unreachable recently, or the
     * list has removed this one, only a recent reply makes it trusted.
     */
    boolean isTrusted(long now, Endpoint endpoint) {
        boolean unreachableRecently =
                settings.get().limits().healthChecks() && now - lastUnreachableAt < SUSPICION_MICROS;
        boolean needsEvidence = endpoint.isRemovalIgnored() || unreachableRecently;
        return !needsEvidence || now - endpoint.liveness.lastReplyAt < SUSPICION_MICROS;
    }

    private void markUnresponsive(long now, Endpoint endpoint, String reason) {
        endpoint.liveness.markUnresponsive(now);
        String role = endpoint.isPrimary() ? " (primary)" : "";
        actions.log("unresponsive " + endpoint.name + role + ": " + reason);
        listener.onUnresponsive(now, endpoint);
    }
}
