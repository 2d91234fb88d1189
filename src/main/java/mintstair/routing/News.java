package mintstair.routing;

import mintstair.request.ConnectionEnd;
import mintstair.request.EndpointList;
import mintstair.request.HostReport;

/** What the network side has to report. */
public sealed interface News {
    /** One attempt ended; {@code over} when the request has, or by this gets, its final answer. */
    record AttemptEnd(
            long request, int attempt, String host, ConnectionEnd end, long latency, boolean over, HostReport report)
            implements News {}

    /** One probe ended. */
    record ProbeEnd(String host, ConnectionEnd end, long latency, HostReport report) implements News {}

    /** The client left before its answer. */
    record ClientGone(long request) implements News {}

    /** How many proxies there are; {@code settled} only where all that are settled count each other. */
    record Proxies(int largest, int counted, boolean settled) implements News {}

    /** The list of hosts, or changes to it. */
    record Listed(EndpointList list, boolean old) implements News {}
}
