package mintstair.request;

/**
 * What came back for something that was sent to a host.
 *
 * @param end how it ended
 * @param body the reply in the words of the host's protocol; null where there is none
 * @param report what the host reported about itself with it
 */
public record HostReply(ConnectionEnd end, byte[] body, HostReport report) {
    /** A reply without body and report. */
    public static HostReply of(ConnectionEnd end) {
        return new HostReply(end, null, HostReport.NONE);
    }
}
