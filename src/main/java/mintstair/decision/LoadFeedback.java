package mintstair.decision;

/**
 * Learns from the ends of attempts how loaded endpoints are: latencies of classes, outliers, lost answers and the
 * concurrency limits. Times are microseconds. Not safe for use by several threads.
 */
final class LoadFeedback {
    /** Share of its latency objective after which an attempt that is still out counts as evidence. */
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

    /** An attempt has ended; {@code answered} where its endpoint said anything. */
    void attemptEnded(long now, Endpoint endpoint, InFlightRequest request, AttemptResult result, boolean answered) {
        AttemptOutcome outcome = result.outcome();
        ClassStatistics statistics = request.statistics;
        endpoint.outliers.decay(now);
        if (outcome == AttemptOutcome.SUCCESS) {
            endpoint.outliers.recordLatency(result.latencyMicros() / statistics.meanLatency());
            statistics.recordLatency(result.latencyMicros());
            requestWork.recordLatency(result.latencyMicros());
        }
        if (isEndpointsDoing(outcome)) {
            endpoint.outliers.recordOutcome(isFailure(outcome));
            recordLoss(outcome, result.latencyMicros() > statistics.meanPlusDeviations(HedgingPolicy.STUCK_DEVIATIONS));
        }
        long objective = request.requestClass().latencyObjectiveMicros();
        // What was given up when hardly begun, as its request's time ran out, says nothing of an endpoint.
        boolean givenUp =
                outcome == AttemptOutcome.TIMEOUT || (outcome == AttemptOutcome.CANCELLED && !request.isFinished());
        boolean givenUpLate = givenUp && result.latencyMicros() >= LATE_SHARE * objective;
        if (outcome == AttemptOutcome.SUCCESS) {
            sample(now, endpoint, (double) result.latencyMicros() / objective, answered, false);
        } else if (outcome == AttemptOutcome.OVERLOADED || givenUpLate) {
            boolean rejected = outcome == AttemptOutcome.OVERLOADED;
            sample(now, endpoint, ConcurrencyLimit.NOT_IN_TIME, answered, rejected);
        }
    }

    /** The newest attempt of the request is still out: counts it as late once, when that time has come. */
    void recordIfLate(long now, InFlightRequest request) {
        long since = Math.max(request.lastSentAt(), clock.runningSince());
        long lateAt = since + (long) (LATE_SHARE * request.requestClass().latencyObjectiveMicros());
        if (!request.lateCounted && now >= lateAt) {
            request.lateCounted = true;
            sample(now, request.lastEndpoint(), LATE_SHARE, true, false);
        }
    }

    private static boolean isEndpointsDoing(AttemptOutcome outcome) {
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

    /** Feeds the concurrency limit that the endpoint counts for. */
    private void sample(long now, Endpoint endpoint, double ofObjective, boolean answered, boolean rejected) {
        ReplicaSet replicaSet = endpoint.replicaSet;
        double bounded = Math.min(ConcurrencyLimit.NOT_IN_TIME, ofObjective);
        if (endpoint.isPrimary()) {
            endpoint.primaryLimit.sample(now, bounded, answered, rejected, endpoint.inFlight, 1);
        } else if (!endpoint.liveness.isUnresponsive()) {
            ReplicaSurvey survey = replicas.survey(now, replicaSet);
            replicaSet.replicaLimit.sample(
                    now, bounded, answered, rejected, survey.inFlightPerReplica(), survey.increasePerAttempt());
        }
    }
}
