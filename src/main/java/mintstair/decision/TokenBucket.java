package mintstair.decision;

/**
 * A token bucket for operations that may only accompany a share of all requests, such as retries. Each request adds a
 * fraction of a token, and tokens are kept up to a bound, so that a router with little traffic can react to the first
 * sign of a fault and a router with much traffic cannot cause a retry storm. Not safe for use by several threads.
 */
final class TokenBucket {
    private final double initialTokens;
    private final double capacity;
    private double tokens;

    /**
     * Creates a bucket with {@code initialTokens}. It never holds more than {@code capacity}, nor more than the initial
     * tokens plus the number of requests per second.
     */
    TokenBucket(double initialTokens, double capacity) {
        this.initialTokens = initialTokens;
        this.capacity = capacity;
        tokens = initialTokens;
    }

    /** Adds this amount for a request that has arrived; {@code requestsPerSecond} bounds the number of tokens. */
    void earn(double amount, double requestsPerSecond) {
        tokens = Math.min(Math.min(capacity, initialTokens + requestsPerSecond), tokens + amount);
    }

    /** Returns whether the bucket holds at least one token. */
    boolean hasToken() {
        return tokens >= 1;
    }

    /** Takes a token; returns false if there is none. */
    boolean tryAcquire() {
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
