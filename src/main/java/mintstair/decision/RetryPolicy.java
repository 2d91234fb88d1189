package mintstair.decision;

import java.util.function.Supplier;
import mintstair.request.GiveUpReason;

/**
 * Decides whether a request may be retried: no effect may occur twice, and retries stay within a retry budget, to which
 * each request adds a fraction. Times are microseconds. Not safe for use by several threads.
 */
final class RetryPolicy {
    /** Time reserved before a deadline, so that the response still arrives in time. */
    static final long DEADLINE_MARGIN_MICROS = 15_000;
    /** Retries that each request adds to the budget; the more headroom replicas have, the closer to the maximum. */
    private static final double RETRIES_PER_REQUEST = 0.1;

    private static final double MAX_RETRIES_PER_REQUEST = 0.4;
    /** Retries in the budget at the start, and at most. */
    private static final double INITIAL_RETRIES = 2;

    private static final double MAX_RETRIES = 20;
    /**
     * How long a routing decision on a read with bounded staleness is valid. The staleness is measured from when the
     * attempt is sent, so an attempt that waits longer for a connection needs a new decision. Must be below the
     * tolerance that the invariants allow on sockets.
     */
    private static final long BOUNDED_READ_VALID_MICROS = 25_000;
    /** Retry-After value as a share of the latency objective. */
    private static final double RETRY_AFTER_SHARE = 0.3;

    private final Supplier<RouterSettings> settings;
    private final PooledLimits pooled;
    private final TokenBucket budget = new TokenBucket(INITIAL_RETRIES, MAX_RETRIES);

    RetryPolicy(Supplier<RouterSettings> settings, PooledLimits pooled) {
        this.settings = settings;
        this.pooled = pooled;
    }

    /** Adds to the budget for a request that has arrived; {@code requestsPerSecond} bounds the budget. */
    void requestArrived(double requestsPerSecond) {
        double additional = (MAX_RETRIES_PER_REQUEST - RETRIES_PER_REQUEST) * pooled.replicaHeadroom();
        budget.earn(RETRIES_PER_REQUEST + additional, requestsPerSecond);
    }

    /** Returns whether the budget allows a further attempt. */
    boolean hasBudget() {
        return budget.hasToken();
    }

    /** Takes a further attempt from the budget; returns false if the budget is empty. */
    boolean tryAcquire() {
        return budget.tryAcquire();
    }

    /** Takes the retry of an attempt with this outcome from the budget; returns false if the budget is empty. */
    boolean tryAcquireAfter(AttemptOutcome outcome) {
        return switch (outcome) {
            // A misdirected or unsent attempt wasted no work of a host; the budget paid for the retry of a cancelled
            // attempt when that was cancelled.
            case MISDIRECTED, NOT_SENT, CANCELLED -> true;
            default -> budget.tryAcquire();
        };
    }

    /**
     * Returns whether an attempt of the request may be sent, the first or a further one. A request that may have been
     * executed is only sent again if its class permits it.
     */
    boolean canSend(long now, InFlightRequest request) {
        if (request.attempts() >= maxAttempts(request) || isOutOfTime(now, request)) {
            return false;
        }
        if (request.isSticky()) {
            return request.attempts() == 0;
        }
        if (!request.mayHaveRun() || request.isRepeatable()) {
            return true;
        }
        RequestClass requestClass = request.requestClass();
        return requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY
                && requestClass.deduplicationScope() != DeduplicationScope.ZONE
                && now < deduplicationEnd(request);
    }

    /** Returns why a request for which {@link #canSend} is false is given up. */
    GiveUpReason giveUpReason(long now, InFlightRequest request) {
        if (isOutOfTime(now, request)) {
            return GiveUpReason.OUT_OF_TIME;
        }
        boolean exhausted = request.attempts() >= maxAttempts(request);
        return exhausted ? GiveUpReason.ATTEMPTS_EXHAUSTED : GiveUpReason.NOT_REPEATABLE;
    }

    private int maxAttempts(InFlightRequest request) {
        return Math.min(request.maxAttempts(), settings.get().limits().maxAttempts());
    }

    /**
     * Returns whether the request may be sent to another endpoint while its attempt is in flight: false if it must not
     * be executed twice, or if two attempts are in flight.
     */
    static boolean canHedge(InFlightRequest request) {
        return request.requestClass().idempotency() != Idempotency.NOT_IDEMPOTENT && request.outstanding() <= 1;
    }

    /** Returns whether a response can no longer reach the client before its deadline. */
    static boolean isOutOfTime(long now, InFlightRequest request) {
        return now >= request.deadline - DEADLINE_MARGIN_MICROS;
    }

    /** Returns the time until which the routing decision is valid; an attempt must not begin later. */
    static long beginBy(long now, InFlightRequest request) {
        if (request.requestClass().consistency() == Consistency.BOUNDED_STALENESS) {
            return now + BOUNDED_READ_VALID_MICROS;
        }
        boolean deduplicated = request.mayHaveRun() && !request.isRepeatable();
        return deduplicated ? deduplicationEnd(request) : Long.MAX_VALUE;
    }

    /** Returns when to abandon an attempt of the request; 0 if that is the client's deadline. */
    static long abandonAt(InFlightRequest request) {
        long abandonAt = request.isWorthlessWhenLate() ? request.objectiveEnd() : 0;
        return abandonAt < request.deadline ? abandonAt : 0;
    }

    /** Returns when the deduplication window of a request that may have been executed ends, less the margin. */
    private static long deduplicationEnd(InFlightRequest request) {
        return request.firstMayHaveRunAt()
                + request.requestClass().deduplicationWindowMicros()
                - DEADLINE_MARGIN_MICROS;
    }

    /** Returns whether it is certain that the client can repeat the request without a second effect. */
    static boolean isSafeToRepeat(InFlightRequest request) {
        if (request.isRepeatable() || (!request.mayHaveRun() && request.outstanding() == 0)) {
            return true;
        }
        RequestClass requestClass = request.requestClass();
        return requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY
                && requestClass.deduplicationScope() == DeduplicationScope.ALL;
    }

    /**
     * Returns the Retry-After value for a rejected client: a time within the latency objective, or the largest
     * permitted value if the objective can no longer be met; 0 if no value is sent.
     */
    long retryAfter(long now, InFlightRequest request) {
        AttemptLimits limits = settings.get().limits();
        if (!limits.retryAfter()) {
            return 0;
        }
        long soon = (long) (RETRY_AFTER_SHARE * request.requestClass().latencyObjectiveMicros());
        boolean inTime = now + soon < request.objectiveEnd();
        return inTime ? Math.min(limits.maxRetryAfterMicros(), soon) : limits.maxRetryAfterMicros();
    }
}
