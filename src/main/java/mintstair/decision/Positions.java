package mintstair.decision;

/** Constants of replication positions: the time, in microseconds, up to which a host has applied all commits. */
public final class Positions {
    /** Stands for a position, a token age or a time that is not known. */
    public static final long UNKNOWN = -1;

    private Positions() {}
}
