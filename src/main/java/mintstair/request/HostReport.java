package mintstair.request;

/**
 * The replication state that a host reports about itself. Positions are commit times in Unix microseconds, or
 * {@link #UNKNOWN_POSITION}. A protocol that transmits a time with less precision reports it as two bounds, because
 * rounding is safe in opposite directions: a host must not appear to have applied more than it has, and a session must
 * not be held to less than it has written.
 *
 * @param role its role in its replica set
 * @param appliedPosition a lower bound: the host has applied all commits up to this time
 * @param commitPosition an upper bound: if the reply answers a write, the write was committed at this time or before
 */
public record HostReport(ReplicationRole role, long appliedPosition, long commitPosition) {
    /** Represents a replication position that is not known. */
    public static final long UNKNOWN_POSITION = -1;

    /** The report used where a host reported nothing. */
    public static final HostReport NONE = new HostReport(ReplicationRole.UNKNOWN, UNKNOWN_POSITION, UNKNOWN_POSITION);
}
