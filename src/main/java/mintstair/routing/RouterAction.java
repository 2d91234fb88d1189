package mintstair.routing;

/** What the network side is to do now. */
public sealed interface RouterAction {
    /**
     * Start the attempt of this number at the host; stop waiting for it at {@code until}, and do not send it at all
     * where it cannot be written by {@code writeBy}.
     */
    record Send(long request, int attempt, String host, long until, long writeBy) implements RouterAction {}

    /** Stop waiting for one attempt. */
    record Cancel(long request, int attempt) implements RouterAction {}

    /** Final answer: refused, best tried again after so many microseconds (0: no advice). */
    record Reject(long request, long retryAfterMicros) implements RouterAction {}

    /** Final answer: failed. */
    record Fail(long request) implements RouterAction {}

    /** Ask a host for its report. */
    record CheckHealth(String host) implements RouterAction {}

    /** Count and tell of a rule that was found broken; the host is empty where none is concerned. */
    record InvariantViolated(String rule, long request, String host) implements RouterAction {}

    /** A line for the people on call. */
    record Log(String text) implements RouterAction {}
}
