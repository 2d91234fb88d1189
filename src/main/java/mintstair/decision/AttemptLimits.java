package mintstair.decision;

/**
 * Bounds on attempts, and the optional mechanisms that the deployment permits.
 *
 * @param maxAttempts the largest number of attempts for one request
 * @param cancellation whether attempts in flight may be cancelled
 * @param healthChecks whether health checks may be sent to endpoints
 * @param peerMessages whether routers may send messages to each other
 * @param hedging whether a hedged request may be sent while an attempt is in flight
 * @param retryAfter whether a rejected client is sent a Retry-After value
 * @param maxRetryAfterMicros the largest Retry-After value, in microseconds
 */
public record AttemptLimits(
        int maxAttempts,
        boolean cancellation,
        boolean healthChecks,
        boolean peerMessages,
        boolean hedging,
        boolean retryAfter,
        long maxRetryAfterMicros) {}
