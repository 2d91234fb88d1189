package mintstair.request;

/** What a host sent back: how it ended, the answer as its protocol words it, and what it told of the host. */
public record HostReply(ConnectionEnd end, byte[] body, HostReport report) {
    public static HostReply of(ConnectionEnd end) {
        return new HostReply(end, null, HostReport.NONE);
    }
}
