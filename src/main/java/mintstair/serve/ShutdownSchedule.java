package mintstair.serve;

/**
 * The times of the steps of a graceful shutdown, on the event loop's clock. They are derived from the time at which the
 * platform may kill the process.
 *
 * @param signalledMicros when SIGTERM arrived
 * @param killMicros the earliest time of SIGKILL
 * @param successorListens whether another process already accepts new clients on the same address
 */
record ShutdownSchedule(long signalledMicros, long killMicros, boolean successorListens) {
    /** Connections are accepted for at least this long after SIGTERM, as some still arrive beside a successor. */
    private static final long MIN_ACCEPT_MICROS = 500_000;
    /** The longest request deadline that the platform waits for before it sends SIGKILL. */
    private static final long MAX_DEADLINE_MICROS = 3_000_000;
    /** The platform tolerates this time without a response, and adds it to the deadline before it sends SIGKILL. */
    private static final long MAX_UNANSWERED_MICROS = 700_000;
    /** Draining begins this long before {@link #MAX_UNANSWERED_MICROS} after SIGTERM. */
    private static final long DRAIN_MARGIN_MICROS = 50_000;
    /** Responses are written until this long before SIGKILL. */
    private static final long RESPONSE_MARGIN_MICROS = 300_000;
    /** Connections are accepted until this long before SIGKILL, which leaves time for their responses. */
    private static final long ACCEPT_MARGIN_MICROS = 800_000;

    /** Returns the schedule after a SIGTERM; {@code longestDeadlineMicros} is the longest request deadline. */
    static ShutdownSchedule after(long signalledMicros, long longestDeadlineMicros, boolean successorListens) {
        long killMicros =
                signalledMicros + Math.min(MAX_DEADLINE_MICROS, longestDeadlineMicros) + MAX_UNANSWERED_MICROS;
        return new ShutdownSchedule(signalledMicros, killMicros, successorListens);
    }

    /** Returns when draining begins: requests that arrive later must be answered by {@link #respondByMicros}. */
    long drainFromMicros() {
        return signalledMicros + MAX_UNANSWERED_MICROS - DRAIN_MARGIN_MICROS;
    }

    /** Returns when all responses must have been written. */
    long respondByMicros() {
        return killMicros - RESPONSE_MARGIN_MICROS;
    }

    /**
     * Returns when the fronts stop listening. Without a successor that is as late as possible, as no other process
     * serves new clients.
     */
    long stopListeningMicros() {
        if (successorListens) {
            return signalledMicros + MIN_ACCEPT_MICROS;
        }
        return Math.max(signalledMicros + MIN_ACCEPT_MICROS, killMicros - ACCEPT_MARGIN_MICROS);
    }
}
