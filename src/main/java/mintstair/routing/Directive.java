package mintstair.routing;

/** What the network side is to do now. */
public sealed interface Directive {
    /**
     * Start the attempt of this number at the host; stop waiting for it at {@code until}, and do not send it at all
     * where it cannot be written by {@code writeBy}.
     */
    record Send(long request, int attempt, String host, long until, long writeBy) implements Directive {}

    /** Stop waiting for one attempt. */
    record CallOff(long request, int attempt) implements Directive {}

    /** Final answer: refused, best tried again after so many microseconds (0: no advice). */
    record Refuse(long request, long comeBack) implements Directive {}

    /** Final answer: failed. */
    record Fail(long request) implements Directive {}

    /** Ask a host for its report. */
    record Probe(String host) implements Directive {}

    /** Count and tell of a rule that was found broken; the host is empty where none is concerned. */
    record RuleBroken(String rule, long request, String host) implements Directive {}

    /** A line for the people on call. */
    record Log(String text) implements Directive {}
}
