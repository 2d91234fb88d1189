package mintstair.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import mintstair.time.MonotonicClock;
import org.junit.jupiter.api.Test;

/** The loop's clock is no wall clock, and a task that goes wrong is neither the end of the next ones nor unseen. */
class EventLoopTest {
    private static final long HOUR = 3_600_000_000L;
    private static final long START = 1_700_000_000_000_000L;

    @Test
    void wallClockThatIsSetMovesNothing() {
        AtomicLong wall = new AtomicLong(START);
        AtomicLong nanos = new AtomicLong();
        try (EventLoop loop = new EventLoop(new MonotonicClock(wall::get, nanos::get))) {
            assertEquals(START, loop.now());
            wall.addAndGet(-HOUR);
            nanos.addAndGet(5_000_000);
            assertEquals(START + 5_000, loop.now());
            wall.addAndGet(3 * HOUR);
            nanos.addAndGet(5_000_000);
            assertEquals(START + 10_000, loop.now());
        }
    }

    /** Held up between its first two readings, for longer than the bound of a read may be. */
    @Test
    void clockThatIsStartedByAThreadThatIsHeldUpIsNotLate() {
        AtomicLong nanos = new AtomicLong();
        AtomicInteger readings = new AtomicInteger();
        MonotonicClock clock = new MonotonicClock(() -> START + nanos.get() / 1_000, () -> {
            if (readings.incrementAndGet() == 2) {
                nanos.addAndGet(150_000_000);
            }
            return nanos.addAndGet(1_000);
        });
        long wall = START + nanos.get() / 1_000;
        assertTrue(Math.abs(clock.getAsLong() - wall) < 1_000, "off by " + (clock.getAsLong() - wall));
    }

    @Test
    void taskThatGoesWrongIsRunAgainAndCounted() throws Exception {
        AtomicInteger runs = new AtomicInteger();
        CountDownLatch again = new CountDownLatch(3);
        try (EventLoop loop = new EventLoop()) {
            loop.every(1_000, () -> {
                again.countDown();
                if (runs.incrementAndGet() == 1) {
                    throw new IllegalStateException("as the test wants it");
                }
                if (runs.get() == 2) {
                    throw new AssertionError("as the test wants it");
                }
            });
            assertTrue(again.await(20, TimeUnit.SECONDS));
            assertEquals(2, loop.failures());
        }
    }
}
