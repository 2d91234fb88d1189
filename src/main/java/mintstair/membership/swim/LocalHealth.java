package mintstair.membership.swim;

/**
 * Lifeguard's local health multiplier. A member whose probes fail without nacks, or that has to refute suspicions, is
 * probably slow itself, so it extends its protocol period and ack timeout.
 */
final class LocalHealth {
    private final int maxScore;
    private int score;

    LocalHealth(int maxMultiplier) {
        maxScore = maxMultiplier - 1;
    }

    /** Lowers the multiplier by one, after a successful probe. */
    void improve() {
        score = Math.max(0, score - 1);
    }

    /** Raises the multiplier by one, after a sign that this member is slow. */
    void degrade() {
        score = Math.min(maxScore, score + 1);
    }

    /** Returns a duration multiplied by the current multiplier. */
    long scale(long micros) {
        return micros * (1 + score);
    }
}
