package mintstair.decision;

import java.util.function.Supplier;
import mintstair.request.GiveUpReason;

/**
 * Decides whether a request may be tried again: no effect may occur twice, and retries stay within a budget that each
 * request earns a part of. Times are microseconds. Not safe for use by several threads.
 */
final class RetryPolicy {
    /** Kept free before a deadline so that an answer still counts. */
    static final long DEADLINE_MARGIN_MICROS = 15_000;
    /** Retries earned by each request; more of them while replicas answer swiftly. */
    private static final double RETRIES_PER_REQUEST = 0.1;

    private static final double MAX_RETRIES_PER_REQUEST = 0.4;
    /** Retries saved up at the start, and at most. */
    private static final double INITIAL_RETRIES = 2;

    private static final double MAX_RETRIES = 20;
    /**
     * How long a decision on a bounded read holds: its staleness counts from the sending, so one that waited longer
     * for a connection is decided on anew. Less than the rules leave on sockets.
     */
    private static final long BOUNDED_READ_VALID_MICROS = 25_000;
    /** Share of its latency objective after which a rejected client is asked to come back. */
    private static final double RETRY_AFTER_SHARE = 0.3;

    private final Supplier<RouterSettings> settings;
    private final PooledLimits pooled;
    private final TokenBucket budget = new TokenBucket(INITIAL_RETRIES, MAX_RETRIES);

    RetryPolicy(Supplier<RouterSettings> settings, PooledLimits pooled) {
        this.settings = settings;
        this.pooled = pooled;
    }

    /** A request has arrived, one of so many a second, and earns a part of a retry. */
    void requestArrived(double requestsPerSecond) {
        double additional = (MAX_RETRIES_PER_REQUEST - RETRIES_PER_REQUEST) * pooled.replicaSlack();
        budget.earn(RETRIES_PER_REQUEST + additional, requestsPerSecond);
    }

    /** Whether a further attempt can be afforded. */
    boolean hasBudget() {
        return budget.hasToken();
    }

    /** Pays for a further attempt; returns whether it could be afforded. */
    boolean tryAcquire() {
        return budget.tryAcquire();
    }

    /** Pays for the attempt that follows one that ended so; returns whether it could be afforded. */
    boolean tryAcquireAfter(AttemptOutcome outcome) {
        return switch (outcome) {
            // Nothing was lost with these, and a cancelled one was paid for when it was cancelled.
            case MISDIRECTED, NOT_SENT, CANCELLED -> true;
            default -> budget.tryAcquire();
        };
    }

    /** Whether the request may be sent, again or for the first time: what may have run only where its class says so. */
    boolean canSend(long now, InFlightRequest request) {
        if (request.attempts() >= mostAttempts(request) || isOutOfTime(now, request)) {
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

    /** Why a request that may not be sent now is given up. */
    GiveUpReason giveUpReason(long now, InFlightRequest request) {
        if (isOutOfTime(now, request)) {
            return GiveUpReason.OUT_OF_TIME;
        }
        boolean exhausted = request.attempts() >= mostAttempts(request);
        return exhausted ? GiveUpReason.ATTEMPTS_EXHAUSTED : GiveUpReason.NOT_REPEATABLE;
    }

    private int mostAttempts(InFlightRequest request) {
        return Math.min(request.maxAttempts(), settings.get().limits().maxAttempts());
    }

    /** Whether a further attempt could be hedged or moved: anything but what must not run twice. */
    static boolean canHedge(InFlightRequest request) {
        return request.requestClass().idempotency() != Idempotency.NOT_IDEMPOTENT && request.outstanding() <= 1;
    }

    /** Whether an answer can no longer reach the client in time. */
    static boolean isOutOfTime(long now, InFlightRequest request) {
        return now >= request.deadline - DEADLINE_MARGIN_MICROS;
    }

    /** Until when the attempt may begin, as what the decision rests on holds till then. */
    static long beginBy(long now, InFlightRequest request) {
        if (request.requestClass().consistency() == Consistency.BOUNDED_STALENESS) {
            return now + BOUNDED_READ_VALID_MICROS;
        }
        boolean deduplicated = request.mayHaveRun() && !request.isRepeatable();
        return deduplicated ? deduplicationEnd(request) : Long.MAX_VALUE;
    }

    /** When to give the attempt up; 0 where that is the client's deadline. */
    static long abandonAt(InFlightRequest request) {
        long until = request.isWorthlessWhenLate() ? request.objectiveEnd() : 0;
        return until < request.deadline ? until : 0;
    }

    /** Until then hosts drop the repeats of a request with an idempotency key. */
    private static long deduplicationEnd(InFlightRequest request) {
        return request.firstMayHaveRunAt()
                + request.requestClass().deduplicationWindowMicros()
                - DEADLINE_MARGIN_MICROS;
    }

    /** Whether it can be promised that the client may send the request again without doubling its effect. */
    static boolean isSafeToRepeat(InFlightRequest request) {
        if (request.isRepeatable() || (!request.mayHaveRun() && request.outstanding() == 0)) {
            return true;
        }
        RequestClass requestClass = request.requestClass();
        return requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY
                && requestClass.deduplicationScope() == DeduplicationScope.ALL;
    }

    /**
     * After how long a rejected client should come back: within its latency objective, or else late; 0 for no advice.
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
