package mintstair.request;

/** What an answer tells of its host: its role, and its position in Unix microseconds or {@link #UNKNOWN}. */
public record HostReport(ReplicationRole role, long position) {
    public static final long UNKNOWN = -1;
    public static final HostReport NONE = new HostReport(ReplicationRole.UNKNOWN, UNKNOWN);
}
