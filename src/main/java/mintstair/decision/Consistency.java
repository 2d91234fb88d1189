package mintstair.decision;

/** The consistency that a request class requires. */
public enum Consistency {
    /** A read from any replica, however old its data is. */
    EVENTUAL,
    /** A read whose data is no older than the staleness bound of its class. */
    BOUNDED_STALENESS,
    /** A read that sees the last write of its session. */
    SESSION,
    /** A read that sees all committed writes. */
    STRONG,
    /** A write. */
    WRITE
}
