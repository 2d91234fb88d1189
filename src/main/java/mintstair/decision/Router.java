package mintstair.decision;

import java.util.List;

/** Receives the events of one router. Times are in microseconds. Calls must not overlap. */
public interface Router {
    /** The endpoint list or changes to it have arrived, or the list could not be fetched. */
    void onEndpoints(long now, EndpointUpdateType type, List<EndpointEntry> entries);

    /** New settings apply from now on; requests in flight keep the class with which they arrived. */
    void onSettings(long now, RouterSettings settings);

    /** The fleet size was observed; until the first call, the fleet size of the settings applies. */
    void onFleetSize(long now, FleetSize fleet);

    /** A client's request has arrived; it gets exactly one final response. */
    void onRequest(long now, RoutingRequest request);

    /** An attempt has ended. */
    void onAttemptEnded(long now, AttemptResult result);

    /**
     * The first part of a reply has arrived that is forwarded while it arrives. For the request this is the end of the
     * attempt, with success; exactly one {@link #onReplyEnded} follows for the reply itself.
     */
    void onReplyStarted(long now, AttemptResult result);

    /** A reply that was forwarded while it arrived has ended, completely or not. */
    void onReplyEnded(long now, StreamedReplyResult result);

    /** The client of a request has disconnected; no response is due any more. */
    void onClientDisconnected(long now, long id);

    /** The process shuts down: all requests in flight are given up, each with a final response. */
    void onShutdown(long now);

    /** A timer has fired. */
    void onTimer(long now, String name);

    /** A health check has ended; {@code status} is null if the host reported none. */
    void onHealthCheckEnded(long now, String host, AttemptOutcome outcome, long latency, ReplicationStatus status);

    /**
     * Returns the number of listed endpoints that are draining, unresponsive or failing; these get trial requests at
     * most.
     */
    int unavailableEndpoints(long now);

    /** A message of another router has arrived. It is ignored: each router decides on its own, as messages get lost. */
    default void onPeerMessage(long now, int from, String text) {}
}
