package mintstair.decision;

/**
 * Constants of replication positions. A position is the time in microseconds up to which a host has applied all
 * commits.
 */
public final class Positions {
    /** A position, session token age or time that is unknown. */
    public static final long UNKNOWN = -1;

    private Positions() {}
}
