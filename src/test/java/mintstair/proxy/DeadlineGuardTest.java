package mintstair.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class DeadlineGuardTest {
    private static final long TIMEOUT_SECONDS = 20;
    private static final long DEADLINE_MICROS = 1_000;

    private final AtomicLong clockMicros = new AtomicLong();
    private final EventLoop loop = new EventLoop(clockMicros::get);
    private final CountDownLatch expired = new CountDownLatch(1);

    @AfterEach
    void closeLoop() {
        loop.close();
    }

    @Test
    void expiresWhenTheGracePeriodAfterTheDeadlineEnds() throws Exception {
        loop.execute(() -> DeadlineGuard.start(loop, DEADLINE_MICROS, expired::countDown));

        clockMicros.set(DEADLINE_MICROS + DeadlineGuard.GRACE_MICROS);

        assertTrue(expired.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
    }

    /** The timer of the guard runs in real time, while the loop's clock changes only when the test sets it. */
    @Test
    void doesNotExpireIfItsTimerFiresBeforeTheLoopClockReachesTheExpiryTime() throws Exception {
        loop.execute(() -> DeadlineGuard.start(loop, DEADLINE_MICROS, expired::countDown));
        clockMicros.set(DEADLINE_MICROS + DeadlineGuard.GRACE_MICROS - 1);

        assertFalse(expired.await(50, TimeUnit.MILLISECONDS));

        clockMicros.set(DEADLINE_MICROS + DeadlineGuard.GRACE_MICROS);
        assertTrue(expired.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
    }

    @Test
    void doesNotExpireAfterItWasCancelled() throws Exception {
        CountDownLatch cancelled = new CountDownLatch(1);
        loop.execute(() -> {
            DeadlineGuard guard = DeadlineGuard.start(loop, DEADLINE_MICROS, expired::countDown);
            guard.cancel();
            guard.cancel();
            cancelled.countDown();
        });
        assertTrue(cancelled.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));

        clockMicros.set(DEADLINE_MICROS + DeadlineGuard.GRACE_MICROS);

        assertFalse(expired.await(50, TimeUnit.MILLISECONDS));
        assertEquals(0, loop.failedTasks());
    }
}
