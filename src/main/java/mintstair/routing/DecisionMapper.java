package mintstair.routing;

import java.util.ArrayList;
import java.util.List;
import mintstair.decision.AttemptOutcome;
import mintstair.decision.AttemptResult;
import mintstair.decision.EndpointEntry;
import mintstair.decision.EndpointState;
import mintstair.decision.EndpointUpdateType;
import mintstair.decision.Positions;
import mintstair.decision.ReplicationStatus;
import mintstair.decision.RoutingRequest;
import mintstair.decision.StreamedReplyResult;
import mintstair.request.ConnectionEnd;
import mintstair.request.EndpointList;
import mintstair.request.HostReport;
import mintstair.request.ProxyRequest;
import mintstair.request.ReplicationRole;

/** Converts the types of the network side to those of the decision module. All such conversions are made here. */
final class DecisionMapper {
    private static final int NO_TENANT = -1;

    private DecisionMapper() {}

    /** Returns what the end of an attempt or a health check means for routing decisions. */
    static AttemptOutcome outcome(ConnectionEnd end) {
        return switch (end) {
            case SERVED, SERVED_AND_MORE -> AttemptOutcome.SUCCESS;
            case MISS -> AttemptOutcome.MISDIRECTED;
            case HOST_ERROR, REPORT_UNREADABLE -> AttemptOutcome.ERROR;
            case TURNED_AWAY -> AttemptOutcome.OVERLOADED;
            case CONNECT_FAILED, CONNECT_TIMEOUT, BROKEN_BEFORE_WRITTEN -> AttemptOutcome.UNREACHABLE;
            case BROKEN_AFTER_WRITTEN, GARBLED -> AttemptOutcome.CONNECTION_RESET;
            case TIMED_OUT -> AttemptOutcome.TIMEOUT;
            case CALLED_OFF -> AttemptOutcome.CANCELLED;
            case NEVER_SENT -> AttemptOutcome.NOT_SENT;
        };
    }

    static AttemptResult result(RouterEvent.AttemptEnded event, AttemptOutcome outcome) {
        return new AttemptResult(
                event.request(),
                event.attempt(),
                event.host(),
                outcome,
                event.latencyMicros(),
                event.requestOver(),
                event.report().role(),
                event.report().appliedPosition(),
                event.report().commitPosition());
    }

    /** Returns the result of an attempt of whose reply only the first part is known. */
    static AttemptResult result(RouterEvent.ReplyStarted event) {
        return new AttemptResult(
                event.request(),
                event.attempt(),
                event.host(),
                AttemptOutcome.SUCCESS,
                event.latencyMicros(),
                true,
                ReplicationRole.UNKNOWN,
                Positions.UNKNOWN,
                Positions.UNKNOWN);
    }

    static StreamedReplyResult result(RouterEvent.ReplyEnded event) {
        HostReport report = event.report();
        return new StreamedReplyResult(
                event.request(),
                outcome(event.end()),
                report.role(),
                report.appliedPosition(),
                report.commitPosition());
    }

    /** Returns the replication status that a host reported, or null if it reported no role. */
    static ReplicationStatus status(HostReport report) {
        if (report.role() == ReplicationRole.UNKNOWN) {
            return null;
        }
        return new ReplicationStatus(report.appliedPosition(), report.role());
    }

    static RoutingRequest request(long nowMicros, long number, int classIndex, ProxyRequest request) {
        return new RoutingRequest(
                number,
                classIndex,
                request.cluster(),
                request.session(),
                NO_TENANT,
                request.isClientRetry(),
                request.timeoutMicros(),
                tokenAgeMicros(nowMicros, request.minimumPositionMicros()),
                request.stickyHost());
    }

    /**
     * Returns the age of the commit that a read must observe, or {@link Positions#UNKNOWN} if there is no such commit.
     */
    private static long tokenAgeMicros(long nowMicros, long minimumPositionMicros) {
        if (minimumPositionMicros == HostReport.UNKNOWN_POSITION) {
            return Positions.UNKNOWN;
        }
        long ageMicros = nowMicros - minimumPositionMicros;
        // If the clock of the host that reported the commit is ahead of this one, the age can be negative. An age equal
        // to the value that stands for "no token" is decremented, so that the token is not ignored.
        return ageMicros == Positions.UNKNOWN ? ageMicros - 1 : ageMicros;
    }

    static EndpointUpdateType updateType(EndpointList list, boolean cached) {
        if (cached) {
            return EndpointUpdateType.CACHED;
        }
        return list.isSnapshot() ? EndpointUpdateType.SNAPSHOT : EndpointUpdateType.DELTA;
    }

    static List<EndpointEntry> endpoints(EndpointList list) {
        List<EndpointEntry> endpoints = new ArrayList<>();
        for (EndpointList.Entry entry : list.entries()) {
            endpoints.add(new EndpointEntry(
                    entry.host(),
                    entry.primary(),
                    entry.zone(),
                    entry.cluster(),
                    state(entry.state()),
                    entry.capacity(),
                    entry.startedAtMicros()));
        }
        return endpoints;
    }

    static EndpointState state(EndpointList.State state) {
        return switch (state) {
            case SERVING -> EndpointState.SERVING;
            case DRAINING -> EndpointState.DRAINING;
            case REMOVED -> EndpointState.REMOVED;
        };
    }
}
