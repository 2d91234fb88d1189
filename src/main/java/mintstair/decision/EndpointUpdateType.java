package mintstair.decision;

/** The content of an update of the endpoint list. */
public enum EndpointUpdateType {
    /** Entries that changed; all others stay as they are. */
    DELTA,
    /** The complete list. */
    SNAPSHOT,
    /** The complete list as it was cached earlier, because the current one is not available. */
    CACHED,
    /** No entries: the list could not be fetched. */
    FAILED
}
