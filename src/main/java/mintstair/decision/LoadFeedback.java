package mintstair.decision;

/**
 * Updates the load measurements from the results of attempts: latencies of request classes, outliers among endpoints,
 * lost replies and the concurrency limits. Times are microseconds. Not safe for use by several threads.
 */
final class LoadFeedback {
    /** Share of its latency objective after which an attempt still in flight counts as late. */
    private static final double LATE_SHARE = 0.7;

    private final RouterClock clock;
    private final ReplicaSelector replicas;
    private final RequestWork requestWork;
    private final AnswerLossEstimator answerLoss;

    LoadFeedback(RouterClock clock, ReplicaSelector replicas, RequestWork requestWork, AnswerLossEstimator answerLoss) {
        this.clock = clock;
        this.replicas = replicas;
        this.requestWork = requestWork;
        this.answerLoss = answerLoss;
    }

    /** Records the result of an attempt; {@code replied} tells whether its endpoint sent any reply. */
    void attemptEnded(long now, Endpoint endpoint, InFlightRequest request, AttemptResult result, boolean replied) {
        AttemptOutcome outcome = result.outcome();
        ClassStatistics statistics = request.statistics;
        endpoint.outliers.decay(now);
        if (outcome == AttemptOutcome.SUCCESS) {
            endpoint.outliers.recordLatency(result.latencyMicros() / statistics.meanLatency());
            statistics.recordLatency(result.latencyMicros());
            requestWork.recordLatency(result.latencyMicros());
        }
        if (isAttributableToEndpoint(outcome)) {
            endpoint.outliers.recordOutcome(isFailure(outcome));
            recordLoss(outcome, result.latencyMicros() > statistics.meanPlusDeviations(HedgingPolicy.STUCK_DEVIATIONS));
        }
        long objective = request.requestClass().latencyObjectiveMicros();
        // An attempt that was abandoned soon after its start, because its request ran out of time, says nothing about
        // the endpoint.
        boolean abandoned =
                outcome == AttemptOutcome.TIMEOUT || (outcome == AttemptOutcome.CANCELLED && !request.isFinished());
        boolean abandonedLate = abandoned && result.latencyMicros() >= LATE_SHARE * objective;
        if (outcome == AttemptOutcome.SUCCESS) {
            sample(now, endpoint, (double) result.latencyMicros() / objective, replied, false);
        } else if (outcome == AttemptOutcome.OVERLOADED || abandonedLate) {
            boolean rejected = outcome == AttemptOutcome.OVERLOADED;
            sample(now, endpoint, ConcurrencyLimit.MAX_LATENCY_RATIO, replied, rejected);
        }
    }

    /**
     * Records the newest attempt of a request with attempts in flight as late, if it was sent long enough ago; at most
     * once for each attempt.
     */
    void recordIfLate(long now, InFlightRequest request) {
        long since = Math.max(request.lastSentAt(), clock.runningSince());
        long lateAt = since + (long) (LATE_SHARE * request.requestClass().latencyObjectiveMicros());
        if (!request.lateCounted && now >= lateAt) {
            request.lateCounted = true;
            sample(now, request.lastEndpoint(), LATE_SHARE, true, false);
        }
    }

    private static boolean isAttributableToEndpoint(AttemptOutcome outcome) {
        return switch (outcome) {
            case MISDIRECTED, NOT_SENT, CANCELLED -> false;
            default -> true;
        };
    }

    private static boolean isFailure(AttemptOutcome outcome) {
        return switch (outcome) {
            case ERROR, UNREACHABLE, CONNECTION_RESET -> true;
            default -> false;
        };
    }

    private void recordLoss(AttemptOutcome outcome, boolean late) {
        boolean lost = outcome == AttemptOutcome.CONNECTION_RESET || (outcome == AttemptOutcome.TIMEOUT && late);
        if (lost || outcome == AttemptOutcome.SUCCESS) {
            answerLoss.record(lost);
        }
    }

    /** Adds a sample to the concurrency limit that applies to the endpoint. */
    private void sample(long now, Endpoint endpoint, double latencyRatio, boolean replied, boolean rejected) {
        ReplicaSet replicaSet = endpoint.replicaSet;
        double bounded = Math.min(ConcurrencyLimit.MAX_LATENCY_RATIO, latencyRatio);
        if (endpoint.isPrimary()) {
            endpoint.primaryLimit.sample(now, bounded, replied, rejected, endpoint.inFlight, 1);
        } else if (!endpoint.liveness.isUnresponsive()) {
            ReplicaSurvey survey = replicas.survey(now, replicaSet);
            replicaSet.replicaLimit.sample(
                    now, bounded, replied, rejected, survey.inFlightPerReplica(), survey.increasePerAttempt());
        }
    }
}
