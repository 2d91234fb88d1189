package mintstair.request;

/** A final answer, before any front words it. */
public sealed interface Answer {
    /** Served; the body is in the words of the host's protocol. */
    record Served(byte[] body) implements Answer { }

    /** Refused: trying again is harmless, best after so many milliseconds (0: no advice). */
    record Refused(long comeBackMillis) implements Answer { }

    /** Failed: nothing is promised about its effect. */
    record Failed(String reason) implements Answer { }
}
