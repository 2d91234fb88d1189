package mintstair.routing;

import mintstair.request.ConnectionEnd;
import mintstair.request.EndpointList;
import mintstair.request.HostReport;

/** What the network side has to report. */
public sealed interface RouterEvent {
    /** One attempt ended; {@code over} when the request has, or by this gets, its final answer. */
    record AttemptEnded(
            long request, int attempt, String host, ConnectionEnd end, long latency, boolean over, HostReport report)
            implements RouterEvent {}

    /** One probe ended. */
    record HealthCheckEnded(String host, ConnectionEnd end, long latency, HostReport report) implements RouterEvent {}

    /** The client left before its answer. */
    record ClientDisconnected(long request) implements RouterEvent {}

    /** How many proxies there are; {@code settled} only where all that are settled count each other. */
    record FleetSizeChanged(int largest, int counted, boolean settled) implements RouterEvent {}

    /** The list of hosts, or changes to it. */
    record EndpointsUpdated(EndpointList list, boolean old) implements RouterEvent {}
}
