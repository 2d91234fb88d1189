package mintstair.request;

/**
 * The replication state that a host reports about itself.
 *
 * @param role its role in its replica set
 * @param position its replication position: the host has applied all commits up to this commit time, in Unix
 *     microseconds; {@link #UNKNOWN_POSITION} if it reported none
 */
public record HostReport(ReplicationRole role, long position) {
    /** Represents a replication position that is not known. */
    public static final long UNKNOWN_POSITION = -1;

    /** The report used where a host reported nothing. */
    public static final HostReport NONE = new HostReport(ReplicationRole.UNKNOWN, UNKNOWN_POSITION);
}
