package mintstair.decision;

/** The hosts among which repeats of a request with the same idempotency key are discarded. */
public enum DeduplicationScope {
    /** All hosts. */
    ALL,
    /** The hosts of one zone. */
    ZONE,
    /** The hosts of one replica set. */
    GROUP
}
