package mintstair.backend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class IdleReusePolicyTest {
    private static final long MS = 1_000;

    private static IdleReusePolicy trust(int brokenSoon, int brokenLate) {
        IdleReusePolicy trust = new IdleReusePolicy();
        for (int i = 0; i < 20; i++) {
            trust.ended(0, 20 * MS, i < brokenSoon);
            trust.ended(0, 300 * MS, i < brokenLate);
        }
        return trust;
    }

    /** Guards against requests that meet connections which were dropped without a word: half of those idle for long. */
    @Test
    void idleTimesThatBreakFarOftenerAreNotUsed() {
        long longest = trust(1, 10).longest();
        assertTrue(longest >= 100 * MS && longest < 300 * MS, "" + longest);
    }

    /** Connections that break whatever their idle time are no reason to make new ones, which break as well. */
    @Test
    void whatBreaksAnywaySpeaksAgainstNoIdleTime() {
        assertEquals(Long.MAX_VALUE, trust(8, 10).longest());
        assertEquals(Long.MAX_VALUE, new IdleReusePolicy().longest());
    }

    @Test
    void longTimesAreTriedAgainLater() {
        IdleReusePolicy trust = trust(1, 10);
        trust.ended(60_000 * MS, 20 * MS, false);
        assertEquals(Long.MAX_VALUE, trust.longest());
    }
}
