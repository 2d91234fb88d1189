package mintstair.decision;

import mintstair.request.GiveUpReason;

/**
 * A request that has no final answer yet, or some attempt of which has not ended. Attempts are numbered from 0. Times
 * are microseconds on the router's clock. Not safe for use by several threads.
 */
final class InFlightRequest {
    final RoutingRequest request;
    final ClassStatistics statistics;
    final long arrivedAt;
    /** When its client gives up. */
    final long deadline;
    /** The position that a read of its session must see, or {@link Positions#UNKNOWN}. */
    final long sessionPosition;
    /** Whether its tenant is over its quota. */
    final boolean overQuota;
    /** How much it takes of a host, by the mean latency of its class, in microseconds. */
    final double work;
    /** From 0 to 1: where only a part of all requests is admitted, those with the smaller samples are. */
    final double admissionSample;

    private final Endpoint[] endpoints;
    private final long[] sentAt;
    private final boolean[] isOut;
    private int attempts;
    private int outstanding;
    private boolean finished;
    private boolean mayHaveRun;
    private long firstMayHaveRunAt;

    /** Whether it waits in the queue of its replica set, and since when. */
    boolean queued;

    long queuedAt;
    /** How often endpoints were polled for it, and when last. */
    int pollRounds;

    long lastPolledAt = Endpoint.NEVER;
    /** Whether it has been counted as a read that did or did not fall back to the primary. */
    boolean fallbackCounted;
    /** Whether its newest attempt was counted as late while it was still out. */
    boolean lateCounted;
    /** The endpoint in slow start that it was counted as held back from; null for none. */
    Endpoint heldBackFrom;
    /** What kept it from being sent when that was last looked at. */
    GiveUpReason heldBackReason = GiveUpReason.NO_PRIMARY;

    InFlightRequest(
            RoutingRequest request,
            ClassStatistics statistics,
            long now,
            long sessionPosition,
            boolean overQuota,
            double admissionSample,
            int maxAttempts,
            double work) {
        this.request = request;
        this.statistics = statistics;
        arrivedAt = now;
        deadline = now + request.timeoutMicros();
        this.sessionPosition = sessionPosition;
        this.overQuota = overQuota;
        this.work = work;
        this.admissionSample = admissionSample;
        endpoints = new Endpoint[maxAttempts];
        sentAt = new long[maxAttempts];
        isOut = new boolean[maxAttempts];
    }

    RequestClass requestClass() {
        return statistics.requestClass;
    }

    /** The end of its class's latency objective. */
    long objectiveEnd() {
        return arrivedAt + requestClass().latencyObjectiveMicros();
    }

    boolean isWrite() {
        return requestClass().consistency() == Consistency.WRITE;
    }

    boolean needsPrimary() {
        return isWrite() || requestClass().consistency() == Consistency.STRONG;
    }

    /** Whether only the endpoint that holds its cursor can serve it. */
    boolean isSticky() {
        return request.stickyHost() != null;
    }

    /** Whether it may run any number of times. */
    boolean isRepeatable() {
        return requestClass().idempotency() == Idempotency.IDEMPOTENT && !isSticky();
    }

    /** Whether an answer after the latency objective has no value, and the request may run again. */
    boolean isWorthlessWhenLate() {
        return requestClass().lateWeight() == 0 && isRepeatable();
    }

    /** The part of a concurrency limit that it may fill, from 0 to 1. */
    double capacityShare() {
        return overQuota ? PrimaryAdmission.OVER_QUOTA_SHARE * statistics.capacityShare() : statistics.capacityShare();
    }

    // ---- attempts ----

    /** A further attempt is sent to this endpoint. */
    void attemptStarted(long now, Endpoint endpoint) {
        endpoints[attempts] = endpoint;
        sentAt[attempts] = now;
        isOut[attempts] = true;
        attempts++;
        outstanding++;
        lateCounted = false;
    }

    /** An attempt has ended; {@code hadNoEffect} where its endpoint certainly did nothing for it. */
    void attemptEnded(int attempt) {
        isOut[attempt] = false;
        outstanding--;
    }

    /** An attempt that has ended may have run. */
    void markMayHaveRun(int attempt) {
        if (!mayHaveRun) {
            firstMayHaveRunAt = sentAt[attempt];
        }
        mayHaveRun = true;
    }

    /** Whether some attempt that has ended may have run. */
    boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** When the first attempt was sent of those that have ended and may have run. */
    long firstMayHaveRunAt() {
        return firstMayHaveRunAt;
    }

    /** Attempts sent so far. */
    int attempts() {
        return attempts;
    }

    /** Attempts that have not ended. */
    int outstanding() {
        return outstanding;
    }

    /** The most attempts that the settings allowed when it arrived. */
    int maxAttempts() {
        return endpoints.length;
    }

    /** Whether this attempt was sent and has not ended. */
    boolean isOutstanding(int attempt) {
        return attempt >= 0 && attempt < attempts && isOut[attempt];
    }

    Endpoint endpointOf(int attempt) {
        return endpoints[attempt];
    }

    long sentAt(int attempt) {
        return sentAt[attempt];
    }

    /** The endpoint of the newest attempt. */
    Endpoint lastEndpoint() {
        return endpoints[attempts - 1];
    }

    /** When the newest attempt was sent. */
    long lastSentAt() {
        return sentAt[attempts - 1];
    }

    /** Whether an attempt is outstanding at the endpoint. */
    boolean isOutstandingAt(Endpoint endpoint) {
        for (int attempt = 0; attempt < attempts; attempt++) {
            if (endpoints[attempt] == endpoint && isOut[attempt]) {
                return true;
            }
        }
        return false;
    }

    /** Whether an attempt was ever sent to the endpoint. */
    boolean wasSentTo(Endpoint endpoint) {
        for (int attempt = 0; attempt < attempts; attempt++) {
            if (endpoints[attempt] == endpoint) {
                return true;
            }
        }
        return false;
    }

    // ---- its end ----

    /** Its final answer was given, or its client has left. */
    void finish() {
        finished = true;
    }

    boolean isFinished() {
        return finished;
    }
}
