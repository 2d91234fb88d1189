package mintstair.decision;

/** How recent the data behind an answer must be. */
public enum Consistency {
    EVENTUAL,
    BOUNDED_STALENESS,
    SESSION,
    STRONG,
    WRITE
}
