package mintstair.decision;

import java.util.List;

/**
 * The events that a router receives. Times are microseconds. One instance serves one router; calls must not overlap.
 */
public interface Router {
    /** The endpoint list, changes to it, or that a call for it failed. */
    void onEndpoints(long now, EndpointUpdateType kind, List<EndpointEntry> entries);

    /** Other settings, from now on; open requests keep the class that they came with. */
    void onSettings(long now, RouterSettings settings);

    /** The observed fleet size; until it is known, that of the settings counts. */
    void onFleetSize(long now, FleetSize fleet);

    /** A client's request, which gets exactly one final answer. */
    void onRequest(long now, RoutingRequest request);

    /** An attempt ended. */
    void onAttemptEnded(long now, AttemptResult result);

    /** The client has disconnected; no answer is due any more. */
    void onClientDisconnected(long now, long id);

    /** The process shuts down: all requests in flight are given up, each with its final answer. */
    void onShutdown(long now);

    /** A timer is due. */
    void onTimer(long now, String name);

    /** A health check ended; {@code report} is null where there is none. */
    void onHealthCheckEnded(long now, String host, AttemptOutcome outcome, long latency, ReplicationStatus report);

    /** How many listed endpoints are draining, unresponsive or failing: they get trial requests at most. */
    int unavailableEndpoints(long now);

    /** A message of another router. */
    void onPeerMessage(long now, int from, String text);
}
