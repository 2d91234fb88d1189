package mintstair.decision;

import mintstair.request.AttemptVerdict;

/**
 * Decides whether an attempt may begin; no other class decides this. Callers evaluate the rules when an attempt is
 * handed to the network side, and again right before its first byte is written: in between, the attempt may have waited
 * for a connection or the process may have been paused.
 */
public final class AttemptRules {
    private AttemptRules() {}

    /**
     * The state of an attempt, its request and its host at one moment. All times are microseconds.
     *
     * @param now the current time
     * @param requestOver whether the final response of the request was sent, or the request was given up
     * @param clientGone whether the client has closed its connection
     * @param abandonAt when the attempt is abandoned; the client's deadline at the latest
     * @param beginBy the last time at which the routing decision is still valid
     * @param hostDraining whether the host is listed as draining
     */
    public record Facts(
            long now, boolean requestOver, boolean clientGone, long abandonAt, long beginBy, boolean hostDraining) {}

    /** Returns the first reason that prevents the attempt, or {@link AttemptVerdict#MAY_BEGIN}. */
    public static AttemptVerdict evaluate(Facts facts) {
        if (facts.requestOver()) {
            return AttemptVerdict.REQUEST_OVER;
        }
        if (facts.clientGone()) {
            return AttemptVerdict.CLIENT_GONE;
        }
        if (facts.now() >= facts.abandonAt()) {
            return AttemptVerdict.DEADLINE_PASSED;
        }
        if (facts.now() > facts.beginBy()) {
            return AttemptVerdict.DECISION_EXPIRED;
        }
        return facts.hostDraining() ? AttemptVerdict.HOST_DRAINING : AttemptVerdict.MAY_BEGIN;
    }
}
