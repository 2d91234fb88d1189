package mintstair.decision;

import java.util.function.Supplier;

/**
 * Applies the replication positions that hosts report to the estimate of their clock and to what is known of the
 * endpoints. Positions and times are in microseconds. Not safe for use by several threads.
 */
final class PositionReports {
    private static final long MICROS_PER_MILLI = 1_000;

    private final Supplier<RouterSettings> settings;
    private final PositionClock positions;
    private final ReplicationMonitor replication;
    private final ReplicaFreshness freshness;
    private final EndpointDirectory directory;
    private final RouterActions actions;

    PositionReports(
            Supplier<RouterSettings> settings,
            PositionClock positions,
            ReplicationMonitor replication,
            ReplicaFreshness freshness,
            EndpointDirectory directory,
            RouterActions actions) {
        this.settings = settings;
        this.positions = positions;
        this.replication = replication;
        this.freshness = freshness;
        this.directory = directory;
        this.actions = actions;
    }

    /** Records a position that a primary has just reported. */
    void primaryReported(long now, Endpoint endpoint, long position) {
        if (positions.primaryReported(endpoint.replicaSet.number, now, position)) {
            hostClockChanged(now);
        }
    }

    /** Records a position that a primary reported at an unknown time before now. */
    void primaryReportedEarlier(long now, Endpoint endpoint, long position) {
        if (positions.primaryReportedEarlier(endpoint.replicaSet.number, now, position)) {
            hostClockChanged(now);
        }
    }

    private void hostClockChanged(long now) {
        long millis = positions.clockError() / MICROS_PER_MILLI;
        actions.log("clock: replication positions are " + millis + " ms ahead of the local clock");
        directory.hostClockChanged(now);
    }

    /** Records a position that a replica has just reported. */
    void replicaReported(long now, Endpoint endpoint, long position) {
        positions.replicaReported(endpoint.replicaSet.number, now, position);
        replication.positionReported(now, endpoint, position, positions.currentPosition(now) - position);
    }

    /** Records a position that a replica reported at an unknown time before now, which does not show its lag. */
    void replicaReportedEarlier(long now, Endpoint endpoint, long position) {
        positions.replicaReported(endpoint.replicaSet.number, now, position);
        replication.positionReached(endpoint, position);
    }

    /**
     * Records that a replica served a read without reporting its position. If it checks reads, it has reached the
     * position that the read required when the attempt was sent.
     */
    void replicaServed(Endpoint endpoint, InFlightRequest read, int attempt) {
        if (settings.get().replicaReadCheck() == ReplicaReadCheck.NONE) {
            return;
        }
        long required = freshness.requiredPosition(read.sentAt(attempt), read);
        if (required < ReadRequirement.UNREACHABLE_POSITION) {
            replication.positionReached(endpoint, required);
        }
    }
}
