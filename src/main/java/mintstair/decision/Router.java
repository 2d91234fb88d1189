package mintstair.decision;

import java.util.List;

/** The events. One instance serves one router; calls must not overlap. */
public interface Router {
    /** The list of hosts, changes to it, or word that a call for it failed. */
    void onEndpoints(long now, EndpointUpdateType kind, List<EndpointEntry> entries);

    /** Other settings, from now on; open requests keep the class that they came with. */
    void onSettings(long now, RouterSettings settings);

    /** How many routers there are; where it is never told, those of the settings count. */
    void onFleetSize(long now, FleetSize fleet);

    /** A client's request, which is owed exactly one final answer. */
    void onRequest(long now, RoutingRequest request);

    /** An attempt ended. */
    void onAttemptEnded(long now, AttemptResult result);

    /** The client left; no answer is owed any more. */
    void onClientDisconnected(long now, long id);

    /** This router ends: all requests that are held are given up, each with its final answer. */
    void onShutdown(long now);

    /** A timer is due. */
    void onTimer(long now, String name);

    /** A probe ended; {@code report} is null where there is none. */
    void onHealthCheckEnded(long now, String host, AttemptOutcome outcome, long latency, ReplicationStatus report);

    /** How many hosts of the list are draining, silent or failing: they get trial requests at most. */
    int unavailableEndpoints(long now);

    /** A message of another router. */
    void onPeerMessage(long now, int from, String text);
}
