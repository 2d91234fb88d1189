package mintstair.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;

import mintstair.request.AttemptVerdict;
import org.junit.jupiter.api.Test;

/** Each fact alone holds an attempt back, and at which moment. */
class AttemptRulesTableTest {
    private static final long NOW = 1_000_000;
    private static final long LATER = NOW + 1;

    private static AttemptVerdict rule(boolean over, boolean gone, long until, long beginBy, boolean drains) {
        return AttemptRules.evaluate(new AttemptRules.Facts(NOW, over, gone, until, beginBy, drains));
    }

    @Test
    void attemptBeginsWhereNothingHoldsItBack() {
        assertEquals(AttemptVerdict.MAY_BEGIN, rule(false, false, LATER, NOW, false));
    }

    @Test
    void eachFactAloneHoldsItBack() {
        assertEquals(AttemptVerdict.REQUEST_OVER, rule(true, false, LATER, LATER, false));
        assertEquals(AttemptVerdict.CLIENT_GONE, rule(false, true, LATER, LATER, false));
        assertEquals(AttemptVerdict.DEADLINE_PASSED, rule(false, false, NOW, LATER, false));
        assertEquals(AttemptVerdict.DECISION_EXPIRED, rule(false, false, LATER, NOW - 1, false));
        assertEquals(AttemptVerdict.HOST_DRAINING, rule(false, false, LATER, LATER, true));
    }
}
