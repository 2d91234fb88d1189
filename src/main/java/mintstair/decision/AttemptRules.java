package mintstair.decision;

import mintstair.request.AttemptVerdict;

/**
 * The one place that rules whether an attempt may begin. It is asked when an attempt is handed to the network side,
 * and again right before its first byte is written: in between it may have waited for a connection, and this process
 * may have stood still.
 */
public final class AttemptRules {
    private AttemptRules() {}

    /**
     * What is known at this moment.
     *
     * @param now the time in microseconds
     * @param requestOver whether its request has had its final answer or was given up
     * @param clientGone whether its client has closed its connection
     * @param abandonAt when the attempt is given up, and the client's deadline at the latest
     * @param beginBy until when what the decision rested on holds
     * @param hostDraining whether its host is listed as draining
     */
    public record Facts(
            long now, boolean requestOver, boolean clientGone, long abandonAt, long beginBy, boolean hostDraining) {}

    /** What holds it back, the first that applies, or that it may begin. */
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
