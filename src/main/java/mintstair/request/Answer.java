package mintstair.request;

/** A final answer, before any front words it. */
public sealed interface Answer {
    /** Served by this host; the body is in the words of its protocol. */
    record Served(String host, byte[] body) implements Answer {}

    /** Refused: trying again is harmless, best after so many milliseconds (0: no advice). */
    record Refused(long comeBackMillis) implements Answer {}

    /** Failed: nothing is promised about its effect; {@code late} where its time ran out. */
    record Failed(String reason, boolean late) implements Answer {}
}
