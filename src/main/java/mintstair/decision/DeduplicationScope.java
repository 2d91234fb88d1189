package mintstair.decision;

/** Where the repeats of a keyed request are dropped. */
public enum DeduplicationScope {
    ALL,
    ZONE,
    GROUP
}
