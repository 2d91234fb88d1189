package mintstair.decision;

import java.util.function.Supplier;

/**
 * Tells which endpoints are unresponsive: two attempts or health checks in a row did not reach it, or requests are in
 * flight there and far more answers are due than chance explains. What was missed while this process was paused
 * counts for nothing. Times are microseconds. Not safe for use by several threads.
 */
final class FailureDetector {
    /**
     * Answers missed in the mean that make an endpoint unresponsive: by chance so many are missed once in e^7 looks.
     */
    private static final double MAX_MISSED_ANSWERS = 7;
    /** Requests that must be without an answer: a single one may just take long. */
    private static final int MIN_UNANSWERED = 3;
    /** Unreachable so often in a row, an endpoint is unresponsive. */
    private static final int MAX_UNREACHABLE = 2;
    /** After a sign of unreachable endpoints, those unheard of for so long are not trusted unasked. */
    private static final long SUSPICION_MICROS = 5_000_000;

    /** Learns of endpoints that became unresponsive. */
    interface Listener {
        /** The endpoint has just become unresponsive; attempts that are in flight there may be tried elsewhere. */
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

    /** Sums up the answers that the endpoint should have given since the last call; due before its load changes. */
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

    /** Looks whether an endpoint with requests in flight has been silent for too long. */
    void checkForMissedReplies(long now, Endpoint endpoint, double patience) {
        accrueMissedReplies(now, endpoint);
        Liveness liveness = endpoint.liveness;
        ReplicaSet replicaSet = endpoint.replicaSet;
        // A primary whose replicas still advance is slow, not lost.
        boolean replicates = endpoint.isPrimary()
                && positions.localTimeOf(replicaSet.number, now, replicaSet.newestPosition) > now - patience;
        boolean severalUnanswered = endpoint.inFlight + liveness.timeouts >= MIN_UNANSWERED;
        long since = Math.max(liveness.answeredAt, clock.runningSince());
        boolean overdue = liveness.missedReplies > MAX_MISSED_ANSWERS && now - since > patience;
        if (!liveness.isUnresponsive() && overdue && severalUnanswered && !replicates) {
            markUnresponsive(now, endpoint, "requests in flight and no answers");
        }
    }

    /**
     * The endpoint answered; if it was unreachable it is taken to have restarted.
     *
     * @param served whether it answered a request: a hung process may still answer health checks, so those end
     *     unresponsiveness only after
     *     a while
     */
    void endpointReplied(long now, Endpoint endpoint, boolean served) {
        Liveness liveness = endpoint.liveness;
        liveness.lastReplyAt = now;
        boolean wasUnreachable = liveness.consecutiveUnreachable > 0;
        if (liveness.isUnresponsive() && wasUnreachable) {
            slowStarts.startDetected(endpoint, now);
        }
        boolean longUnresponsive = liveness.isUnresponsive() && now - liveness.unresponsiveSince() > SUSPICION_MICROS;
        if (served || wasUnreachable || longUnresponsive) {
            if (liveness.isUnresponsive()) {
                actions.log("responsive " + endpoint.name);
            }
            liveness.markResponsive();
            liveness.clearMissedReplies(now);
        }
        liveness.consecutiveUnreachable = 0;
    }

    /** The endpoint gave a sign of life that says nothing of its state. */
    void endpointAlive(long now, Endpoint endpoint) {
        endpoint.liveness.lastReplyAt = now;
        endpoint.liveness.consecutiveUnreachable = 0;
    }

    /** An attempt or a health check did not reach the endpoint: a zone may be lost, so it is checked at once. */
    void endpointUnreachable(long now, Endpoint endpoint) {
        lastUnreachableAt = now;
        endpoint.healthCheck.dueAt = Math.min(endpoint.healthCheck.dueAt, now);
        endpoint.replication.reportedAt = 0;
        endpoint.liveness.consecutiveUnreachable++;
        if (endpoint.liveness.consecutiveUnreachable >= MAX_UNREACHABLE && !endpoint.liveness.isUnresponsive()) {
            markUnresponsive(now, endpoint, "unreachable");
        }
    }

    /** A health check did not reach the endpoint; it proves nothing against one that answered since it was sent. */
    void healthCheckUnanswered(long now, Endpoint endpoint) {
        long lastSign = Math.max(endpoint.liveness.answeredAt, clock.runningSince());
        if (lastSign < endpoint.healthCheck.sentAt) {
            endpointUnreachable(now, endpoint);
        }
    }

    /**
     * Whether the endpoint may be used unasked: after signs of unreachable ones, or against the list, only if they
     * answered lately.
     */
    boolean isTrusted(long now, Endpoint endpoint) {
        boolean unreachableLately =
                settings.get().limits().healthChecks() && now - lastUnreachableAt < SUSPICION_MICROS;
        boolean suspicious = endpoint.isRemovalIgnored() || unreachableLately;
        return !suspicious || now - endpoint.liveness.lastReplyAt < SUSPICION_MICROS;
    }

    private void markUnresponsive(long now, Endpoint endpoint, String reason) {
        endpoint.liveness.markUnresponsive(now);
        String role = endpoint.isPrimary() ? " (primary)" : "";
        actions.log("unresponsive " + endpoint.name + role + ": " + reason);
        listener.onUnresponsive(now, endpoint);
    }
}
