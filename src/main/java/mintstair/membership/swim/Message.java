package mintstair.membership.swim;

import java.util.List;

/**
 * What members tell each other.
 *
 * @param sender the sender's own state, with which it is known to whoever hears it
 * @param updates news that ride along
 */
public record Message(GossipUpdate sender, Body body, List<GossipUpdate> updates) {
    /** What the message is for; {@code seq} is the asker's own number of the question. */
    public sealed interface Body {}

    /** Are you there? {@code target} guards against an answer by another process at a member's old address. */
    public record Ping(long seq, String target) implements Body {}

    /** I am. */
    public record Ack(long seq) implements Body {}

    /** The one that you asked me to ping did not answer me either: I am there, it may not be. */
    public record Nack(long seq) implements Body {}

    /** Ping this one for me. */
    public record PingRequest(long seq, String target, String address) implements Body {}

    /** The digest of all that I know; where yours differs, tell me yours and ask for mine. */
    public record CompareDigests(long digest) implements Body {}

    /** Mine differs from yours: what I know comes as {@link GossipOnly}, and I wish for yours. */
    public record FetchUpdates() implements Body {}

    /** Rumours alone. */
    public record GossipOnly() implements Body {}
}
