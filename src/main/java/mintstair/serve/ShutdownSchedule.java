package mintstair.serve;

/**
 * When the steps of a graceful shutdown are due, on the event loop's clock. All of them follow from the moment at
 * which the platform may kill the process.
 *
 * @param signalledMicros when SIGTERM arrived
 * @param killMicros the earliest time of SIGKILL
 * @param successorListens whether another process already accepts new clients on the same address
 */
record ShutdownSchedule(long signalledMicros, long killMicros, boolean successorListens) {
    /** New connections may arrive for this long after SIGTERM, though a successor listens. */
    private static final long ARRIVALS_MICROS = 500_000;
    /** SIGKILL comes no sooner than after the longest deadline, or this where that is longer, and the time below. */
    private static final long MAX_DEADLINE_MICROS = 3_000_000;

    private static final long UNANSWERED_MICROS = 700_000;
    /** Requests are drained this much before the time that may pass without an answer is over. */
    private static final long DRAIN_MARGIN_MICROS = 50_000;
    /** Before SIGKILL responses must be written by then, and earlier still no more connections are accepted. */
    private static final long RESPONSE_MARGIN_MICROS = 300_000;

    private static final long ACCEPT_MARGIN_MICROS = 800_000;

    /** The schedule after a SIGTERM; {@code longestDeadlineMicros} is the longest time that a request may take. */
    static ShutdownSchedule after(long signalledMicros, long longestDeadlineMicros, boolean successorListens) {
        long killMicros = signalledMicros + Math.min(MAX_DEADLINE_MICROS, longestDeadlineMicros) + UNANSWERED_MICROS;
        return new ShutdownSchedule(signalledMicros, killMicros, successorListens);
    }

    /** From then on requests that cannot be finished in time are failed. */
    long drainFromMicros() {
        return signalledMicros + UNANSWERED_MICROS - DRAIN_MARGIN_MICROS;
    }

    /** By then every response must be written. */
    long respondByMicros() {
        return killMicros - RESPONSE_MARGIN_MICROS;
    }

    /** When the fronts stop accepting; without a successor as late as possible, as nobody else serves new clients. */
    long stopListeningMicros() {
        if (successorListens) {
            return signalledMicros + ARRIVALS_MICROS;
        }
        return Math.max(signalledMicros + ARRIVALS_MICROS, killMicros - ACCEPT_MARGIN_MICROS);
    }
}
