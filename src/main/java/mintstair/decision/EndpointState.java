package mintstair.decision;

/** The state of a host according to the endpoint list. */
public enum EndpointState {
    SERVING,
    DRAINING,
    REMOVED
}
