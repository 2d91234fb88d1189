package mintstair.decision;

/**
 * Decides when an attempt has taken so long that its request should be sent to another endpoint. Times are
 * microseconds. Not safe for use by several threads.
 */
final class HedgingPolicy {
    /** An attempt counts as stuck this many mean deviations above the mean latency; fewer while replies are lost. */
    static final double STUCK_DEVIATIONS = 4;

    private static final double STUCK_DEVIATIONS_WITH_LOSS = 1.5;
    /** While replies are lost, this many mean latencies before the objective's end are reserved for another attempt. */
    private static final double RESERVED_LATENCIES = 1.5;

    private final RouterClock clock;
    private final AnswerLossEstimator answerLoss;

    HedgingPolicy(RouterClock clock, AnswerLossEstimator answerLoss) {
        this.clock = clock;
        this.answerLoss = answerLoss;
    }

    /** Returns the time from which on the request's newest attempt counts as stuck. */
    long stuckAt(InFlightRequest request) {
        ClassStatistics statistics = request.statistics;
        long since = Math.max(request.lastSentAt(), clock.runningSince());
        double wait = statistics.meanPlusDeviations(STUCK_DEVIATIONS);
        if (answerLoss.isLosingReplies()) {
            double available = request.objectiveEnd() - RESERVED_LATENCIES * statistics.meanLatency() - since;
            wait = Math.min(wait, Math.max(statistics.meanPlusDeviations(STUCK_DEVIATIONS_WITH_LOSS), available));
        }
        return since + (long) wait;
    }

    /** Returns whether an attempt at the endpoint may be cancelled so that the request can be sent elsewhere. */
    boolean canCancelAt(Endpoint endpoint) {
        return endpoint.liveness.isUnresponsive() || answerLoss.isLosingReplies();
    }
}
