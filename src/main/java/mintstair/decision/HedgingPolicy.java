package mintstair.decision;

/** Decides when an attempt takes so long that its request is tried elsewhere. Times are microseconds. */
final class HedgingPolicy {
    /** Mean deviations over the mean latency after which an attempt counts as stuck; fewer while answers get lost. */
    static final double STUCK_DEVIATIONS = 4;

    private static final double STUCK_DEVIATIONS_WITH_LOSS = 1.5;
    /** Mean latencies that are left for the other attempt while answers get lost. */
    private static final double RESERVED_LATENCIES = 1.5;

    private final RouterClock clock;
    private final AnswerLossEstimator answerLoss;

    HedgingPolicy(RouterClock clock, AnswerLossEstimator answerLoss) {
        this.clock = clock;
        this.answerLoss = answerLoss;
    }

    /** When the request's newest attempt counts as stuck. */
    long stuckAt(InFlightRequest request) {
        ClassStatistics statistics = request.statistics;
        long since = Math.max(request.lastSentAt(), clock.runningSince());
        double wait = statistics.meanPlusDeviations(STUCK_DEVIATIONS);
        if (answerLoss.isLosingReplies()) {
            double left = request.objectiveEnd() - RESERVED_LATENCIES * statistics.meanLatency() - since;
            wait = Math.min(wait, Math.max(statistics.meanPlusDeviations(STUCK_DEVIATIONS_WITH_LOSS), left));
        }
        return since + (long) wait;
    }

    /** Whether an attempt at the endpoint may be cancelled, so that the request can be tried elsewhere. */
    boolean canCancelAt(Endpoint endpoint) {
        return endpoint.liveness.isUnresponsive() || answerLoss.isLosingReplies();
    }
}
