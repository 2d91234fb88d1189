package mintstair.decision;

import java.util.function.Supplier;
import mintstair.request.ReplicationRole;

/**
 * Learns from the answers to attempts and health checks: who lives, who is primary, how far replicas are, how loaded
 * endpoints are. Times and positions are microseconds. Not safe for use by several threads.
 */
final class AttemptObserver {
    private static final long MICROS_PER_MILLI = 1_000;

    private final Supplier<RouterSettings> settings;
    private final RouterClock clock;
    private final PositionClock positions;
    private final EndpointDirectory directory;
    private final FailureDetector failureDetector;
    private final PrimaryTracker primaries;
    private final ReplicationMonitor replication;
    private final ReplicaFreshness freshness;
    private final LoadFeedback load;
    private final HostThroughput throughput;
    private final SessionTokens tokens;
    private final RouterActions actions;

    AttemptObserver(
            Supplier<RouterSettings> settings,
            RouterClock clock,
            PositionClock positions,
            EndpointDirectory directory,
            FailureDetector failureDetector,
            PrimaryTracker primaries,
            ReplicationMonitor replication,
            ReplicaFreshness freshness,
            LoadFeedback load,
            HostThroughput throughput,
            SessionTokens tokens,
            RouterActions actions) {
        this.settings = settings;
        this.clock = clock;
        this.positions = positions;
        this.directory = directory;
        this.failureDetector = failureDetector;
        this.primaries = primaries;
        this.replication = replication;
        this.freshness = freshness;
        this.load = load;
        this.throughput = throughput;
        this.tokens = tokens;
        this.actions = actions;
    }

    /** An attempt of the request has ended at the endpoint. */
    void attemptEnded(long now, Endpoint endpoint, InFlightRequest request, AttemptResult result) {
        AttemptOutcome outcome = result.outcome();
        boolean answered = isAnswer(outcome);
        if (answered) {
            failureDetector.endpointReplied(now, endpoint, true);
        }
        if (outcome == AttemptOutcome.UNREACHABLE) {
            failureDetector.endpointUnreachable(now, endpoint);
        }
        if (outcome == AttemptOutcome.TIMEOUT) {
            endpoint.liveness.timeouts++;
        }
        observeRole(now, endpoint, result);
        observePosition(now, endpoint, request, result);
        if (outcome == AttemptOutcome.MISDIRECTED && !request.isWrite()) {
            endpoint.replication.misdirectedAt = now;
        }
        if (outcome == AttemptOutcome.OVERLOADED) {
            endpoint.overloadedAt = now;
        }
        if (outcome == AttemptOutcome.SUCCESS) {
            throughput.recordServed(request.work);
        }
        if (outcome == AttemptOutcome.SUCCESS && request.isWrite()) {
            rememberWrite(now, request, result);
        }
        // What came while this process was paused says nothing of the endpoints.
        boolean spannedPause = request.sentAt(result.attempt()) < clock.runningSince();
        boolean affected = outcome == AttemptOutcome.TIMEOUT || outcome == AttemptOutcome.SUCCESS;
        if (!spannedPause || !affected) {
            load.attemptEnded(now, endpoint, request, result, answered);
        }
    }

    private static boolean isAnswer(AttemptOutcome outcome) {
        return switch (outcome) {
            case SUCCESS, ERROR, OVERLOADED, MISDIRECTED -> true;
            default -> false;
        };
    }

    private void observeRole(long now, Endpoint endpoint, AttemptResult result) {
        if (result.role() == ReplicationRole.PRIMARY) {
            primaries.primaryObserved(endpoint, now);
        } else if (result.role() == ReplicationRole.REPLICA) {
            primaries.replicaObserved(endpoint, now);
        }
    }

    private void observePosition(long now, Endpoint endpoint, InFlightRequest request, AttemptResult result) {
        boolean known = result.position() != Positions.UNKNOWN;
        if (known && result.role() == ReplicationRole.PRIMARY) {
            primaryReported(now, endpoint, result.position());
        }
        if (result.role() != ReplicationRole.REPLICA) {
            return;
        }
        if (known) {
            long lag = positions.currentPosition(now) - result.position();
            replication.positionReported(now, endpoint, result.position(), lag);
        } else if (result.outcome() == AttemptOutcome.SUCCESS
                && settings.get().replicaReadCheck() != ReplicaReadCheck.NONE) {
            // A checked read that was served proves that its replica had come as far as was asked for.
            long required = freshness.requiredPosition(request.sentAt(result.attempt()), request);
            if (required < ReadRequirement.UNREACHABLE_POSITION) {
                replication.positionReached(endpoint, required);
            }
        }
    }

    private void rememberWrite(long now, InFlightRequest request, AttemptResult result) {
        String session = request.request.session();
        if (session != null && settings.get().remembersSessionTokens()) {
            boolean known = result.position() != Positions.UNKNOWN;
            tokens.writeAnswered(now, session, known ? result.position() : positions.currentPosition(now));
        }
    }

    /** A health check has ended; {@code status} is null where there is none. */
    void healthCheckEnded(long now, Endpoint endpoint, AttemptOutcome outcome, long latency, ReplicationStatus status) {
        HealthCheckState check = endpoint.healthCheck;
        check.inFlight = false;
        if (outcome == AttemptOutcome.SUCCESS && status != null) {
            failureDetector.endpointReplied(now, endpoint, false);
            observeStatus(now, endpoint, latency, status);
            return;
        }
        switch (outcome) {
            case TIMEOUT, UNREACHABLE -> failureDetector.healthCheckUnanswered(now, endpoint);
            // If the endpoint is lost the next check will not reach it either.
            case CONNECTION_RESET -> check.dueAt = Math.min(check.dueAt, now);
            case NOT_SENT -> {}
            default -> {
                // An error is a sign of life, if of nothing else; it must not be asked for again at once.
                failureDetector.endpointAlive(now, endpoint);
                check.dueAt = Math.max(check.dueAt, now + HealthChecker.INTERVAL_MICROS);
            }
        }
    }

    private void observeStatus(long now, Endpoint endpoint, long latency, ReplicationStatus status) {
        ReplicaSet replicaSet = endpoint.replicaSet;
        boolean known = status.position() != Positions.UNKNOWN;
        if (status.role() == ReplicationRole.PRIMARY) {
            primaryReported(now, endpoint, status.position());
        }
        long age = positions.currentPosition(now) - status.position();
        long reportedAt = positions.localTimeOf(replicaSet.number, now, status.position());
        if (status.role() == ReplicationRole.PRIMARY) {
            // A primary is always up to date, so its position is the time of its report.
            endpoint.replication.reportedAt = now;
            if (known) {
                replicaSet.recordReportAge(age);
            }
            primaries.primaryObserved(endpoint, reportedAt);
        } else if (status.role() == ReplicationRole.REPLICA && known) {
            long sentAt = now - latency - replicaSet.reportAge();
            primaries.replicaObserved(endpoint, Math.max(reportedAt, sentAt));
            replication.positionReported(now, endpoint, status.position(), age);
        }
    }

    /** A primary reported its position: where that shows the own clock wrong, start times are judged anew. */
    private void primaryReported(long now, Endpoint endpoint, long position) {
        if (position == Positions.UNKNOWN || !positions.primaryReported(endpoint.replicaSet.number, now, position)) {
            return;
        }
        long millis = positions.clockError() / MICROS_PER_MILLI;
        actions.log("clock: hosts' positions are " + millis + " ms ahead of this machine's clock");
        directory.hostClockChanged(now);
    }
}
