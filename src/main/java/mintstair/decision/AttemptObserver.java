package mintstair.decision;

import java.util.function.Supplier;
import mintstair.request.ReplicationRole;

/**
 * Updates the state of the endpoints from the results of attempts and health checks: their liveness, roles,
 * replication positions and load. Times and positions are in microseconds. Not safe for use by several threads.
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

    /** Records that an attempt of the request has ended at the endpoint. */
    void attemptEnded(long now, Endpoint endpoint, InFlightRequest request, AttemptResult result) {
        AttemptOutcome outcome = result.outcome();
        boolean replied = isReply(outcome);
        if (replied) {
            failureDetector.endpointReplied(now, endpoint, true);
        }
        if (outcome == AttemptOutcome.UNREACHABLE) {
            failureDetector.endpointUnreachable(now, endpoint);
        }
        if (outcome == AttemptOutcome.TIMEOUT) {
            endpoint.liveness.timeouts++;
        }
        recordRole(now, endpoint, result);
        recordPosition(now, endpoint, request, result);
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
            recordSessionWrite(now, request, result);
        }
        // The latency or time-out of an attempt that spans a pause of this process is no evidence about the endpoint.
        boolean spannedPause = request.sentAt(result.attempt()) < clock.runningSince();
        boolean dependsOnTime = outcome == AttemptOutcome.TIMEOUT || outcome == AttemptOutcome.SUCCESS;
        if (!spannedPause || !dependsOnTime) {
            load.attemptEnded(now, endpoint, request, result, replied);
        }
    }

    private static boolean isReply(AttemptOutcome outcome) {
        return switch (outcome) {
            case SUCCESS, ERROR, OVERLOADED, MISDIRECTED -> true;
            default -> false;
        };
    }

    private void recordRole(long now, Endpoint endpoint, AttemptResult result) {
        if (result.role() == ReplicationRole.PRIMARY) {
            primaries.primaryObserved(endpoint, now);
        } else if (result.role() == ReplicationRole.REPLICA) {
            primaries.replicaObserved(endpoint, now);
        }
    }

    private void recordPosition(long now, Endpoint endpoint, InFlightRequest request, AttemptResult result) {
        boolean hasPosition = result.appliedPosition() != Positions.UNKNOWN;
        if (hasPosition && result.role() == ReplicationRole.PRIMARY) {
            primaryReported(now, endpoint, result.appliedPosition());
        }
        if (result.role() != ReplicationRole.REPLICA) {
            return;
        }
        if (hasPosition) {
            replicaReported(now, endpoint, result.appliedPosition());
        } else if (result.outcome() == AttemptOutcome.SUCCESS
                && settings.get().replicaReadCheck() != ReplicaReadCheck.NONE) {
            // A replica that serves a checked read has reached the position that the read requires.
            long required = freshness.requiredPosition(request.sentAt(result.attempt()), request);
            if (required < ReadRequirement.UNREACHABLE_POSITION) {
                replication.positionReached(endpoint, required);
            }
        }
    }

    /** Records a write whatever the settings say of sessions: later ones may require that it is remembered. */
    private void recordSessionWrite(long now, InFlightRequest request, AttemptResult result) {
        String session = request.request.session();
        if (session != null) {
            tokens.writeAnswered(now, session, commitPosition(now, request.request.replicaSet(), result));
        }
    }

    /**
     * Returns a position at or after the commit of an answered write, as early as is known. A host that reports the
     * commit imprecisely reports a span; the commit is not later than the present either, unless the span begins after
     * it, which shows that the clocks differ. If the host reported nothing, only the present is known.
     */
    private long commitPosition(long now, int replicaSet, AttemptResult result) {
        long present = positions.latestCommit(replicaSet, now);
        if (result.commitPosition() == Positions.UNKNOWN) {
            return present;
        }
        boolean clocksDiffer = present < result.appliedPosition();
        return clocksDiffer ? result.commitPosition() : Math.min(present, result.commitPosition());
    }

    /** Records that a health check has ended; {@code status} is null if the host reported none. */
    void healthCheckEnded(long now, Endpoint endpoint, AttemptOutcome outcome, long latency, ReplicationStatus status) {
        HealthCheckState check = endpoint.healthCheck;
        check.inFlight = false;
        if (outcome == AttemptOutcome.SUCCESS && status != null) {
            failureDetector.endpointReplied(now, endpoint, false);
            recordStatus(now, endpoint, latency, status);
            return;
        }
        switch (outcome) {
            case TIMEOUT, UNREACHABLE -> failureDetector.healthCheckUnanswered(now, endpoint);
            // Checks again at once: if the endpoint is down, that check does not reach it either.
            case CONNECTION_RESET -> check.dueAt = Math.min(check.dueAt, now);
            case NOT_SENT -> {}
            default -> {
                // An error shows only that the host is alive; the next check waits for the usual interval.
                failureDetector.endpointAlive(now, endpoint);
                check.dueAt = Math.max(check.dueAt, now + HealthChecker.INTERVAL_MICROS);
            }
        }
    }

    private void recordStatus(long now, Endpoint endpoint, long latency, ReplicationStatus status) {
        if (status.role() == ReplicationRole.PRIMARY) {
            recordPrimaryStatus(now, endpoint, latency, status.position());
        } else if (status.role() == ReplicationRole.REPLICA) {
            recordReplicaStatus(now, endpoint, latency, status.position());
        }
    }

    private void recordPrimaryStatus(long now, Endpoint endpoint, long latency, long position) {
        ReplicaSet replicaSet = endpoint.replicaSet;
        endpoint.replication.reportedAt = now;
        if (position == Positions.UNKNOWN) {
            primaries.primaryObserved(endpoint, earliestReportTime(now, latency, replicaSet));
            return;
        }
        primaryReported(now, endpoint, position);
        replicaSet.recordReportAge(positions.currentPosition(now) - position);
        // A primary is always up to date, so its position is the time at which it made the report.
        primaries.primaryObserved(endpoint, positions.localTimeOf(replicaSet.number, now, position));
    }

    private void recordReplicaStatus(long now, Endpoint endpoint, long latency, long position) {
        ReplicaSet replicaSet = endpoint.replicaSet;
        long reportedAt = earliestReportTime(now, latency, replicaSet);
        if (position == Positions.UNKNOWN) {
            primaries.replicaObserved(endpoint, reportedAt);
            return;
        }
        reportedAt = Math.max(reportedAt, positions.localTimeOf(replicaSet.number, now, position));
        primaries.replicaObserved(endpoint, reportedAt);
        replicaReported(now, endpoint, position);
    }

    private void replicaReported(long now, Endpoint endpoint, long position) {
        positions.replicaReported(endpoint.replicaSet.number, now, position);
        replication.positionReported(now, endpoint, position, positions.currentPosition(now) - position);
    }

    /** Returns the earliest time at which a host can have made the report that a health check has returned. */
    private static long earliestReportTime(long now, long latency, ReplicaSet replicaSet) {
        return now - latency - replicaSet.reportAge();
    }

    /**
     * Updates the clock offset from a position that a primary reported. If the offset has changed, the listed start
     * times of all endpoints are evaluated again.
     */
    private void primaryReported(long now, Endpoint endpoint, long position) {
        if (position == Positions.UNKNOWN || !positions.primaryReported(endpoint.replicaSet.number, now, position)) {
            return;
        }
        long millis = positions.clockError() / MICROS_PER_MILLI;
        actions.log("clock: replication positions are " + millis + " ms ahead of the local clock");
        directory.hostClockChanged(now);
    }
}
