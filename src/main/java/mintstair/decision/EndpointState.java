package mintstair.decision;

/** The state of a host by the endpoint list. */
public enum EndpointState {
    SERVING,
    DRAINING,
    REMOVED
}
