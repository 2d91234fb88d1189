package mintstair.decision;

/** What a replica does with a read for which it is too far behind. */
public enum ReplicaReadCheck {
    /** It serves the read with old data. */
    NONE,
    /** It rejects the read. */
    REJECT,
    /** It delays the read until it has caught up. */
    WAIT
}
