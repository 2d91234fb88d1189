package mintstair.request;

/** What a host sent back: how it ended, the answer as its protocol words it, and what it told of the host. */
public record Reply(ConnectionEnd end, byte[] body, Note note) {
    public static Reply of(ConnectionEnd end) {
        return new Reply(end, null, Note.NONE);
    }
}
