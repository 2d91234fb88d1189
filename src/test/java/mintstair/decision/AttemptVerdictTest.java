package mintstair.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;

import mintstair.request.AttemptVerdict;
import org.junit.jupiter.api.Test;

/** Tests that each fact alone prevents an attempt, and from which time on. */
class AttemptVerdictTest {
    private static final long NOW = 1_000_000;
    private static final long LATER = NOW + 1;

    private static AttemptVerdict verdict(
            boolean requestOver, boolean clientGone, long until, long beginBy, boolean hostDrains) {
        return AttemptRules.evaluate(new AttemptRules.Facts(NOW, requestOver, clientGone, until, beginBy, hostDrains));
    }

    @Test
    void attemptMayBeginWhereNoFactPreventsIt() {
        assertEquals(AttemptVerdict.MAY_BEGIN, verdict(false, false, LATER, NOW, false));
    }

    @Test
    void eachFactAlonePreventsTheAttempt() {
        assertEquals(AttemptVerdict.REQUEST_OVER, verdict(true, false, LATER, LATER, false));
        assertEquals(AttemptVerdict.CLIENT_GONE, verdict(false, true, LATER, LATER, false));
        assertEquals(AttemptVerdict.DEADLINE_PASSED, verdict(false, false, NOW, LATER, false));
        assertEquals(AttemptVerdict.DECISION_EXPIRED, verdict(false, false, LATER, NOW - 1, false));
        assertEquals(AttemptVerdict.HOST_DRAINING, verdict(false, false, LATER, LATER, true));
    }
}
