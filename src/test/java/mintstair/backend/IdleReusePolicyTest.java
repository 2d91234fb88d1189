package mintstair.backend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class IdleReusePolicyTest {
    private static final long MILLI = 1_000;
    private static final long SHORT_IDLE = 20 * MILLI;
    private static final long LONG_IDLE = 300 * MILLI;

    /** Returns a policy with 20 recorded attempts after a short and 20 after a long idle time. */
    private static IdleReusePolicy policy(int brokenAfterShort, int brokenAfterLong) {
        IdleReusePolicy policy = new IdleReusePolicy();
        for (int i = 0; i < 20; i++) {
            policy.recordOutcome(0, SHORT_IDLE, i < brokenAfterShort);
            policy.recordOutcome(0, LONG_IDLE, i < brokenAfterLong);
        }
        return policy;
    }

    /** Guards against attempts on connections that were dropped without notice while they were idle. */
    @Test
    void idleTimesAfterWhichConnectionsBreakFarMoreOftenAreAvoided() {
        long maxIdle = policy(1, 10).maxIdleMicros();

        assertTrue(maxIdle >= 100 * MILLI && maxIdle < LONG_IDLE, "" + maxIdle);
    }

    /** If connections break regardless of their idle time, new ones break as well and are no improvement. */
    @Test
    void connectionsThatBreakAfterAnyIdleTimeAreStillReused() {
        assertEquals(Long.MAX_VALUE, policy(8, 10).maxIdleMicros());
        assertEquals(Long.MAX_VALUE, new IdleReusePolicy().maxIdleMicros());
    }

    @Test
    void avoidedIdleTimesAreTriedAgainAfterTheCountsDecay() {
        IdleReusePolicy policy = policy(1, 10);

        policy.recordOutcome(60_000 * MILLI, SHORT_IDLE, false);

        assertEquals(Long.MAX_VALUE, policy.maxIdleMicros());
    }
}
