package mintstair.decision;

/** What the site allows. */
public record AttemptLimits(
        int maxAttempts,
        boolean cancellation,
        boolean healthChecks,
        boolean peerMessages,
        boolean hedging,
        boolean retryAfter,
        long maxRetryAfterMicros) {}
