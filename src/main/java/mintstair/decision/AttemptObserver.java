package mintstair.decision;

import mintstair.request.ReplicationRole;

/**
 * Updates the state of the endpoints from the results of attempts and health checks: their liveness, roles,
 * replication positions and load. Times and positions are in microseconds. Not safe for use by several threads.
 */
final class AttemptObserver {
    private final RouterClock clock;
    private final PositionClock positions;
    private final FailureDetector failureDetector;
    private final PrimaryTracker primaries;
    private final PositionReports reports;
    private final LoadFeedback load;
    private final HostThroughput throughput;
    private final SessionCommits commits;

    AttemptObserver(
            RouterClock clock,
            PositionClock positions,
            FailureDetector failureDetector,
            PrimaryTracker primaries,
            PositionReports reports,
            LoadFeedback load,
            HostThroughput throughput,
            SessionCommits commits) {
        this.clock = clock;
        this.positions = positions;
        this.failureDetector = failureDetector;
        this.primaries = primaries;
        this.reports = reports;
        this.load = load;
        this.throughput = throughput;
        this.commits = commits;
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
            commits.writeAnswered(now, request, result.appliedPosition(), result.commitPosition());
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
            reports.primaryReported(now, endpoint, result.appliedPosition());
        }
        if (result.role() != ReplicationRole.REPLICA) {
            return;
        }
        if (hasPosition) {
            reports.replicaReported(now, endpoint, result.appliedPosition());
        } else if (result.outcome() == AttemptOutcome.SUCCESS) {
            reports.replicaServed(endpoint, request, result.attempt());
        }
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
        reports.primaryReported(now, endpoint, position);
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
        reports.replicaReported(now, endpoint, position);
    }

    /** Returns the earliest time at which a host can have made the report that a health check has returned. */
    private static long earliestReportTime(long now, long latency, ReplicaSet replicaSet) {
        return now - latency - replicaSet.reportAge();
    }
}
