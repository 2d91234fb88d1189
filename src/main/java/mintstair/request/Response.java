package mintstair.request;

/** A final answer, before any front words it. */
public sealed interface Response {
    /** Served by this host; the body is in the words of its protocol. */
    record Served(String host, byte[] body) implements Response {}

    /** Refused: trying again is harmless, best after so many milliseconds (0: no advice). */
    record Rejected(long retryAfterMillis) implements Response {}

    /** Failed: nothing is promised about its effect; {@code late} where its time ran out. */
    record Failed(String reason, boolean late) implements Response {}
}
