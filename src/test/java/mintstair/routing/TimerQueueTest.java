package mintstair.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import org.junit.jupiter.api.Test;

class TimerQueueTest {
    private static final long NOW_MICROS = 5_000;

    private final TimerQueue timers = new TimerQueue(NOW_MICROS);

    @Test
    void emptyQueueHasNoDueTimer() {
        assertEquals(TimerQueue.NEVER, timers.nextDueMicros());
        assertNull(timers.pollDue());
    }

    @Test
    void timerIsDueExactlyWhenItsDelayHasElapsed() {
        timers.start("tick", 100);
        assertEquals(NOW_MICROS + 100, timers.nextDueMicros());

        timers.advanceTo(NOW_MICROS + 99);
        assertNull(timers.pollDue());

        timers.advanceTo(NOW_MICROS + 100);
        assertEquals("tick", timers.pollDue());
        assertNull(timers.pollDue());
    }

    @Test
    void timersArePolledByDueTimeThenByStartOrder() {
        timers.start("late", 20);
        timers.start("first", 10);
        timers.start("second", 10);

        timers.advanceTo(NOW_MICROS + 20);

        assertEquals("first", timers.pollDue());
        assertEquals("second", timers.pollDue());
        assertEquals("late", timers.pollDue());
    }
}
