package mintstair.decision;

/**
 * What may be spent on something that costs more than it should for all requests: earned with each request, and saved up to a bound, so
 * that a quiet router can act on the first sign of trouble and a busy one can't start a storm. Not safe for use by several threads.
 */
final class EarnedBudget {
    private final double first;
    private final double most;
    private double saved;

    /** Starts with {@code first} saved up; never saves more than {@code most}, nor than the first and a second's requests. */
    EarnedBudget(double first, double most) {
        this.first = first;
        this.most = most;
        saved = first;
    }

    /** A request came, which earns so much where so many come in a second. */
    void earn(double amount, double requestsPerSecond) {
        saved = Math.min(Math.min(most, first + requestsPerSecond), saved + amount);
    }

    /** Whether there is enough for one. */
    boolean isEnough() {
        return saved >= 1;
    }

    /** Spends one, if there is enough; returns whether there was. */
    boolean spend() {
        if (saved < 1) {
            return false;
        }
        saved--;
        return true;
    }
}
