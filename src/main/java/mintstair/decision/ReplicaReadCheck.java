package mintstair.decision;

/** What a replica does with a read for which it is too far behind. */
public enum ReplicaReadCheck {
    NONE,
    REJECT,
    WAIT
}
