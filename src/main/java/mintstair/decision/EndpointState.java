package mintstair.decision;

/** The state of a host as the list tells it. */
public enum EndpointState {
    SERVING,
    DRAINING,
    REMOVED
}
