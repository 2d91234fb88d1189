package mintstair.request;

/** What an answer tells of its host: its role, and its position in Unix microseconds or {@link #UNKNOWN}. */
public record Note(HostRole role, long position) {
    public static final long UNKNOWN = -1;
    public static final Note NONE = new Note(HostRole.UNTOLD, UNKNOWN);
}
