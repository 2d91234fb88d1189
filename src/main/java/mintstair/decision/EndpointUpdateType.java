package mintstair.decision;

/** What an announcement of the list holds. */
public enum EndpointUpdateType {
    DELTA,
    SNAPSHOT,
    CACHED,
    FAILED
}
