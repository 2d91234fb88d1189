package mintstair.decision;

import java.util.HashMap;
import java.util.Map;
import mintstair.request.ReplicationRole;

/**
 * Updates the state of the endpoints from the ends of streamed replies.
 *
 * <p>The end of a reply may be read long after its host has sent it: while a client reads slowly, the proxy does not
 * read from the host. All that is certain is that the host sent the end after the first part. Whatever the end reports
 * is therefore dated as early as that permits, so that it never replaces newer evidence of another connection. The
 * health, latency and load of the endpoint were recorded with the first part.
 *
 * <p>Positions and times are in microseconds. Not safe for use by several threads.
 */
final class StreamedReplyObserver {
    /** The longest time from the first part to the end of a reply after which its report counts as just made. */
    private static final long MAX_PROMPT_MICROS = PositionClock.ASSUMED_REPORT_AGE_MICROS;

    private final PositionClock positions;
    private final EndpointDirectory directory;
    private final PrimaryTracker primaries;
    private final PositionReports reports;
    private final SessionCommits commits;
    private final HealthChecker healthChecker;
    private final Map<Long, StreamedReply> streams = new HashMap<>();

    StreamedReplyObserver(
            PositionClock positions,
            EndpointDirectory directory,
            PrimaryTracker primaries,
            PositionReports reports,
            SessionCommits commits,
            HealthChecker healthChecker) {
        this.positions = positions;
        this.directory = directory;
        this.primaries = primaries;
        this.reports = reports;
        this.commits = commits;
        this.healthChecker = healthChecker;
    }

    /** Records that the first part of the reply to an attempt has arrived. */
    void replyStarted(long now, InFlightRequest request, int attempt) {
        streams.put(request.request.id(), new StreamedReply(request, attempt, now));
    }

    /**
     * Records the end of a reply.
     *
     * @return the replica set of the endpoint, or null if no such reply had started
     */
    ReplicaSet replyEnded(long now, StreamedReplyResult result) {
        StreamedReply stream = streams.remove(result.id());
        if (stream == null) {
            return null;
        }
        Endpoint endpoint = stream.endpoint();
        if (directory.contains(endpoint)) {
            recordRole(now, stream, result);
            recordPosition(now, stream, result);
            if (isBrokenOff(result.outcome()) && endpoint.isServing()) {
                healthChecker.checkUnlessJustChecked(now, endpoint);
            }
        }
        if (result.outcome() == AttemptOutcome.SUCCESS && stream.request().isWrite()) {
            commits.writeAnswered(now, stream.request(), result.appliedPosition(), result.commitPosition());
        }
        return endpoint.replicaSet;
    }

    private static boolean isBrokenOff(AttemptOutcome outcome) {
        return switch (outcome) {
            case CONNECTION_RESET, TIMEOUT, UNREACHABLE -> true;
            case SUCCESS, ERROR, OVERLOADED, MISDIRECTED, CANCELLED, NOT_SENT -> false;
        };
    }

    /**
     * Records the role. A host was primary no later than the first part shows. It was a replica at its position too, as
     * a primary that steps down has a position up to its last moment as primary.
     */
    private void recordRole(long now, StreamedReply stream, StreamedReplyResult result) {
        Endpoint endpoint = stream.endpoint();
        if (result.role() == ReplicationRole.PRIMARY) {
            primaries.primaryObserved(endpoint, stream.startedAt());
        } else if (result.role() == ReplicationRole.REPLICA) {
            long position = result.appliedPosition();
            long reachedAt = position == Positions.UNKNOWN
                    ? stream.startedAt()
                    : positions.localTimeOf(endpoint.replicaSet.number, now, position);
            primaries.replicaObserved(endpoint, Math.max(stream.startedAt(), reachedAt));
        }
    }

    private void recordPosition(long now, StreamedReply stream, StreamedReplyResult result) {
        if (result.role() == ReplicationRole.UNKNOWN) {
            return;
        }
        boolean primary = result.role() == ReplicationRole.PRIMARY;
        if (result.appliedPosition() != Positions.UNKNOWN) {
            recordKnownPosition(now, stream, primary, result.appliedPosition());
        } else if (!primary && result.outcome() == AttemptOutcome.SUCCESS) {
            reports.replicaServed(stream.endpoint(), stream.request(), stream.attempt());
        }
    }

    private void recordKnownPosition(long now, StreamedReply stream, boolean primary, long position) {
        Endpoint endpoint = stream.endpoint();
        boolean prompt = now - stream.startedAt() <= MAX_PROMPT_MICROS;
        if (primary && prompt) {
            reports.primaryReported(now, endpoint, position);
        } else if (primary) {
            reports.primaryReportedEarlier(now, endpoint, position);
        } else if (prompt) {
            reports.replicaReported(now, endpoint, position);
        } else {
            reports.replicaReportedEarlier(now, endpoint, position);
        }
    }
}
