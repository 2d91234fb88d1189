package mintstair.request;

/**
 * What a host reports about itself.
 *
 * @param role its role in its replica set
 * @param position its replication position: the commit time, in Unix microseconds, up to which it has applied all
 *     commits; or {@link #UNKNOWN_POSITION}
 */
public record HostReport(ReplicationRole role, long position) {
    /** Stands for a position that is not known. */
    public static final long UNKNOWN_POSITION = -1;

    /** The report of a host that reported nothing. */
    public static final HostReport NONE = new HostReport(ReplicationRole.UNKNOWN, UNKNOWN_POSITION);
}
