package mintstair.decision;

import mintstair.request.GiveUpReason;

/**
 * A request whose final response has not been sent, or that still has attempts in flight. Attempts are numbered from 0.
 * Times are microseconds on the router's clock. Not safe for use by several threads.
 */
final class InFlightRequest {
    final RoutingRequest request;
    final ClassStatistics statistics;
    final long arrivedAt;
    /** When the client's timeout expires. */
    final long deadline;
    /** The replication position that a read must see according to its session, or {@link Positions#UNKNOWN}. */
    final long sessionPosition;
    /** Whether the tenant was over its quota when the request arrived. */
    final boolean overQuota;
    /** The work that the request is for a host, as a multiple of that of the mean request; see {@link RequestWork}. */
    final double work;
    /** The admission sample, from 0 to 1: where only a share of requests is admitted, the smallest samples are. */
    final double admissionSample;

    private final Endpoint[] endpoints;
    private final long[] sentAt;
    private final boolean[] inFlight;
    private int attempts;
    private int outstanding;
    private boolean finished;
    private boolean mayHaveRun;
    private long firstMayHaveRunAt;

    /** Whether the request waits in the queue of its replica set, and since when. */
    boolean queued;

    long queuedAt;
    /** How many times endpoints were polled for this request, and when last. */
    int pollRounds;

    long lastPolledAt = Endpoint.NEVER;
    /** Whether the request has been recorded as a read that did or did not fall back to the primary. */
    boolean fallbackCounted;
    /** Whether the newest attempt has been recorded as late while in flight. */
    boolean lateCounted;
    /** The endpoint in slow start for which the request was last counted as held back; null for none. */
    Endpoint heldBackFrom;
    /** Why the request was not sent when an endpoint was last chosen for it. */
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
        inFlight = new boolean[maxAttempts];
    }

    RequestClass requestClass() {
        return statistics.requestClass;
    }

    /** Returns when the latency objective of the request's class ends. */
    long objectiveEnd() {
        return arrivedAt + requestClass().latencyObjectiveMicros();
    }

    boolean isWrite() {
        return requestClass().consistency() == Consistency.WRITE;
    }

    /** Returns whether only the primary can serve the request. */
    boolean needsPrimary() {
        return isWrite() || requestClass().consistency() == Consistency.STRONG;
    }

    /** Returns whether only the endpoint that holds the request's cursor can serve it. */
    boolean isSticky() {
        return request.stickyHost() != null;
    }

    /** Returns whether the request may be executed any number of times. */
    boolean isRepeatable() {
        return requestClass().idempotency() == Idempotency.IDEMPOTENT && !isSticky();
    }

    /** Returns whether a response after the latency objective has no value and the request may be executed again. */
    boolean isWorthlessWhenLate() {
        return requestClass().lateWeight() == 0 && isRepeatable();
    }

    /** Returns the share of a concurrency limit that the request may fill, from 0 to 1. */
    double capacityShare() {
        return overQuota ? PrimaryAdmission.OVER_QUOTA_SHARE * statistics.capacityShare() : statistics.capacityShare();
    }

    // ---- attempts ----

    /** Records that the next attempt is sent to this endpoint. */
    void attemptStarted(long now, Endpoint endpoint) {
        endpoints[attempts] = endpoint;
        sentAt[attempts] = now;
        inFlight[attempts] = true;
        attempts++;
        outstanding++;
        lateCounted = false;
    }

    /** Records that an attempt has ended. */
    void attemptEnded(int attempt) {
        inFlight[attempt] = false;
        outstanding--;
    }

    /** Records that an ended attempt may have been executed by its endpoint. */
    void markMayHaveRun(int attempt) {
        if (!mayHaveRun) {
            firstMayHaveRunAt = sentAt[attempt];
        }
        mayHaveRun = true;
    }

    /** Returns whether any ended attempt may have been executed by its endpoint. */
    boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Returns when the attempt was sent that was first recorded as possibly executed; 0 if there is none. */
    long firstMayHaveRunAt() {
        return firstMayHaveRunAt;
    }

    /** Returns the number of attempts sent so far. */
    int attempts() {
        return attempts;
    }

    /** Returns the number of attempts in flight. */
    int outstanding() {
        return outstanding;
    }

    /** Returns the largest number of attempts that the settings allowed when the request arrived. */
    int maxAttempts() {
        return endpoints.length;
    }

    /** Returns whether this attempt was sent and has not ended; false for a number that was not assigned. */
    boolean isOutstanding(int attempt) {
        return attempt >= 0 && attempt < attempts && inFlight[attempt];
    }

    Endpoint endpointOf(int attempt) {
        return endpoints[attempt];
    }

    long sentAt(int attempt) {
        return sentAt[attempt];
    }

    /** Returns the endpoint of the newest attempt; at least one must have been sent. */
    Endpoint lastEndpoint() {
        return endpoints[attempts - 1];
    }

    /** Returns when the newest attempt was sent; at least one must have been sent. */
    long lastSentAt() {
        return sentAt[attempts - 1];
    }

    /** Returns whether an attempt is in flight at the endpoint. */
    boolean isOutstandingAt(Endpoint endpoint) {
        for (int attempt = 0; attempt < attempts; attempt++) {
            if (endpoints[attempt] == endpoint && inFlight[attempt]) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether any attempt was sent to the endpoint, in flight or ended. */
    boolean wasSentTo(Endpoint endpoint) {
        for (int attempt = 0; attempt < attempts; attempt++) {
            if (endpoints[attempt] == endpoint) {
                return true;
            }
        }
        return false;
    }

    // ---- completion ----

    /** Records that the final response was sent or that the client disconnected. */
    void finish() {
        finished = true;
    }

    boolean isFinished() {
        return finished;
    }
}
