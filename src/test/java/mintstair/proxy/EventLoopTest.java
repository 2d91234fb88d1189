package mintstair.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import mintstair.time.MonotonicClock;
import org.junit.jupiter.api.Test;

/** Tests that the loop's clock ignores changes of the wall clock and that a failed task does not stop the loop. */
class EventLoopTest {
    private static final long HOUR_MICROS = 3_600_000_000L;
    private static final long START_MICROS = 1_700_000_000_000_000L;
    private static final long TIMEOUT_SECONDS = 20;

    @Test
    void clockIgnoresChangesOfTheWallClock() {
        AtomicLong wallMicros = new AtomicLong(START_MICROS);
        AtomicLong nanos = new AtomicLong();
        try (EventLoop loop = new EventLoop(new MonotonicClock(wallMicros::get, nanos::get))) {
            assertEquals(START_MICROS, loop.now());

            wallMicros.addAndGet(-HOUR_MICROS);
            nanos.addAndGet(5_000_000);
            assertEquals(START_MICROS + 5_000, loop.now());

            wallMicros.addAndGet(3 * HOUR_MICROS);
            nanos.addAndGet(5_000_000);
            assertEquals(START_MICROS + 10_000, loop.now());
        }
    }

    /**
     * The thread is paused for 150 ms between the first two readings of the nanosecond clock, far longer than the gap
     * that a pair of readings may have. The pause must not become an offset between the clock and Unix time.
     */
    @Test
    void clockIsAccurateIfItsThreadIsPausedDuringItsCreation() {
        AtomicLong nanos = new AtomicLong();
        AtomicInteger readings = new AtomicInteger();

        MonotonicClock clock = new MonotonicClock(() -> START_MICROS + nanos.get() / 1_000, () -> {
            if (readings.incrementAndGet() == 2) {
                nanos.addAndGet(150_000_000);
            }
            return nanos.addAndGet(1_000);
        });

        long wallMicros = START_MICROS + nanos.get() / 1_000;
        long differenceMicros = clock.getAsLong() - wallMicros;
        assertTrue(Math.abs(differenceMicros) < 1_000, "differs from Unix time by " + differenceMicros + " us");
    }

    @Test
    void periodicTaskThatThrowsRunsAgainAndItsFailuresAreCounted() throws Exception {
        AtomicInteger runs = new AtomicInteger();
        CountDownLatch threeRuns = new CountDownLatch(3);
        try (EventLoop loop = new EventLoop()) {
            loop.every(1_000, () -> {
                threeRuns.countDown();
                if (runs.incrementAndGet() == 1) {
                    throw new IllegalStateException("thrown by the test");
                }
                if (runs.get() == 2) {
                    throw new AssertionError("thrown by the test");
                }
            });

            assertTrue(threeRuns.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
            assertEquals(2, loop.failedTasks());
        }
    }
}
