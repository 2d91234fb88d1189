package mintstair.request;

/**
 * The result of sending an attempt or a health check to a host.
 *
 * @param end how the attempt or health check ended
 * @param body the reply, encoded in the host's protocol; null if there is none
 * @param report what the host reported about itself in the reply
 */
public record HostReply(ConnectionEnd end, byte[] body, HostReport report) {
    /** Returns a reply that has neither a body nor a report. */
    public static HostReply of(ConnectionEnd end) {
        return new HostReply(end, null, HostReport.NONE);
    }
}
