package mintstair.decision;

/**
 * A budget for something that costs more than it should for all requests, such as retries: each request earns a part
 * of a token, and tokens are saved up to a bound, so that a quiet router can act on the first sign of a fault and a
 * busy one can't start a storm. Not safe for use by several threads.
 */
final class TokenBucket {
    private final double initialTokens;
    private final double capacity;
    private double tokens;

    /**
     * Starts with {@code initialTokens}; never holds more than {@code capacity}, nor than the initial ones and a
     * second's requests.
     */
    TokenBucket(double initialTokens, double capacity) {
        this.initialTokens = initialTokens;
        this.capacity = capacity;
        tokens = initialTokens;
    }

    /** A request has arrived, one of so many a second, and earns this amount. */
    void earn(double amount, double requestsPerSecond) {
        tokens = Math.min(Math.min(capacity, initialTokens + requestsPerSecond), tokens + amount);
    }

    /** Whether a whole token is there. */
    boolean hasToken() {
        return tokens >= 1;
    }

    /** Takes a token; returns whether there was one. */
    boolean tryAcquire() {
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
