package mintstair.membership.swim;

import java.util.HashSet;
import java.util.Set;

/** The suspicion of one member, with Lifeguard's dynamic timeout, which independent confirmations shorten. */
final class Suspicion {
    private static final long NO_DEADLINE = Long.MAX_VALUE;

    private final long minMicros;
    private final long maxMicros;
    private final int maxConfirmations;
    /** Names of the members whose own probes of the suspect have failed. */
    private final Set<String> reporters = new HashSet<>();

    private long processGoneDeadlineMicros = NO_DEADLINE;

    /** Starts a suspicion with the timeouts of a fleet of {@code clusterSize} members. */
    Suspicion(SwimSettings settings, int clusterSize, String reporter) {
        minMicros = settings.minSuspicionMicros(clusterSize);
        maxMicros = settings.maxSuspicionMicros(clusterSize);
        maxConfirmations = settings.suspicionConfirmations();
        reporters.add(reporter);
    }

    /** Adds a confirmation by another member's probe; returns false if it does not shorten the timeout. */
    boolean confirm(String reporter) {
        return reporters.size() <= maxConfirmations && reporters.add(reporter);
    }

    /** Limits the deadline after a connection check showed that the member's process has ended. */
    void onProcessGone(long deadlineMicros) {
        processGoneDeadlineMicros = Math.min(processGoneDeadlineMicros, deadlineMicros);
    }

    /** Removes the limit that {@link #onProcessGone} set. */
    void clearProcessGone() {
        processGoneDeadlineMicros = NO_DEADLINE;
    }

    /**
     * Returns when the member is declared dead. The timeout decreases from its maximum to its minimum with the
     * logarithm of the number of confirmations.
     *
     * @param startMicros when the suspicion began
     */
    long deadlineMicros(long startMicros) {
        long reducedMicros = (long) (reduction() * (maxMicros - minMicros));
        return Math.min(processGoneDeadlineMicros, startMicros + maxMicros - reducedMicros);
    }

    /** Returns by how much the timeout is reduced: from 0 without confirmations to 1 with all that count. */
    private double reduction() {
        if (maxConfirmations == 0) {
            return 1;
        }
        int confirmed = Math.max(0, Math.min(maxConfirmations, reporters.size() - 1));
        return Math.log(confirmed + 1) / Math.log(maxConfirmations + 1);
    }
}
