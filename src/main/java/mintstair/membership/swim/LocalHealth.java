package mintstair.membership.swim;

/**
 * Lifeguard's local health multiplier: a member whose probes fail without nacks, or that has to refute suspicions, is
 * probably slow itself, so it extends its period and timeout before it suspects others.
 */
final class LocalHealth {
    private final int maxScore;
    private int score;

    LocalHealth(int maxMultiplier) {
        maxScore = maxMultiplier - 1;
    }

    /** A sign that this member works: one step towards the normal pace. */
    void improve() {
        score = Math.max(0, score - 1);
    }

    /** A sign that this member is slow: one step towards the slowest pace. */
    void degrade() {
        score = Math.min(maxScore, score + 1);
    }

    /** A time span, extended by the current multiplier. */
    long scale(long micros) {
        return micros * (1 + score);
    }
}
