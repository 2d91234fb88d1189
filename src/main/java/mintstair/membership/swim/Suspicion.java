package mintstair.membership.swim;

import java.util.HashSet;
import java.util.Set;

/** The suspicion of one member, with Lifeguard's dynamic timeout: independent confirmations shorten it. */
final class Suspicion {
    private static final long NEVER = Long.MAX_VALUE;

    private final long minMicros;
    private final long maxMicros;
    private final int confirmations;
    /** Members that suspect it because of their own probes. */
    private final Set<String> accusers = new HashSet<>();

    private long processGoneDeadlineMicros = NEVER;

    /** Starts a suspicion with the timeouts of a fleet of {@code clusterSize} members. */
    Suspicion(SwimSettings settings, int clusterSize, String accuser) {
        minMicros = settings.minSuspicionMicros(clusterSize);
        maxMicros = settings.maxSuspicionMicros(clusterSize);
        confirmations = settings.suspicionConfirmations();
        accusers.add(accuser);
    }

    /** Adds another member's own evidence; false if it changes nothing. */
    boolean confirm(String accuser) {
        return accusers.size() <= confirmations && accusers.add(accuser);
    }

    /** The member's address refused a connection: the suspicion ends at this time at the latest. */
    void processGone(long deadlineMicros) {
        processGoneDeadlineMicros = Math.min(processGoneDeadlineMicros, deadlineMicros);
    }

    /** Discards the evidence that the process is gone. */
    void processMayRun() {
        processGoneDeadlineMicros = NEVER;
    }

    /**
     * When the member is declared dead. The timeout falls from its maximum to its minimum with the logarithm of the
     * number of confirmations.
     *
     * @param startMicros when the suspicion began
     */
    long deadlineMicros(long startMicros) {
        long reducedMicros = (long) (reduction() * (maxMicros - minMicros));
        return Math.min(processGoneDeadlineMicros, startMicros + maxMicros - reducedMicros);
    }

    /** From 0, no confirmation, to 1, all that count. */
    private double reduction() {
        if (confirmations == 0) {
            return 1;
        }
        int confirmed = Math.max(0, Math.min(confirmations, accusers.size() - 1));
        return Math.log(confirmed + 1) / Math.log(confirmations + 1);
    }
}
