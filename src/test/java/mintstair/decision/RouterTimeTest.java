package mintstair.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The clock, the tick timer and the request rate of a router. */
class RouterTimeTest {
    private static final long MS = RouterFixture.MS;
    private static final long SECOND = 1_000 * MS;

    @Test
    void clockStandsWhereItsReadingGoesBack() {
        RouterClock clock = new RouterClock(0);
        assertEquals(SECOND, clock.advance(SECOND));
        assertEquals(SECOND, clock.advance(SECOND - 1));
        assertEquals(SECOND + 1, clock.advance(SECOND + 1));
    }

    @Test
    void onlyATimerThatIsFarTooLateShowsAPauseOfTheProcess() {
        RouterClock clock = new RouterClock(7);
        clock.timerFired(SECOND + 100 * MS, SECOND);
        assertEquals(7, clock.runningSince());
        clock.timerFired(SECOND + 100 * MS + 1, SECOND);
        assertEquals(SECOND + 100 * MS + 1, clock.runningSince());
    }

    @Test
    void tickIsScheduledOnceAndOnlyBroughtForward() {
        RouterFixture fixture = new RouterFixture();
        TickTimer ticks = new TickTimer(fixture);
        ticks.schedule(0, 50 * MS);
        ticks.schedule(0, 60 * MS);
        ticks.schedule(0, 30 * MS);
        ticks.schedule(0, 0);
        assertEquals("timer tick 50000\ntimer tick 30000\ntimer tick 20000\n", fixture.trace.toString());
    }

    @Test
    void tickThatWasBroughtForwardIsDueAtItsNewTimeAlone() {
        TickTimer ticks = new TickTimer(new RouterFixture());
        ticks.schedule(0, 50 * MS);
        assertFalse(ticks.isDue(20 * MS, "tick"));
        assertFalse(ticks.isDue(50 * MS, "subscribe"));
        assertTrue(ticks.isDue(50 * MS, "tick"));
        assertEquals(50 * MS, ticks.beginTick());
        assertFalse(ticks.isDue(50 * MS, "tick"));
    }

    @Test
    void requestRateFollowsTheTrafficAndDecays() {
        RequestRate rate = new RequestRate(0);
        long now = 0;
        for (int i = 0; i < 2_000; i++) {
            now += 10 * MS;
            rate.requestArrived(now);
        }
        assertEquals(100, rate.perSecond(now), 1);
        assertEquals(100 / Math.E, rate.perSecond(now + 2 * SECOND), 1);
        assertEquals(100, rate.perSecondAtLastRequest(), 1);
    }
}
