package mintstair.retry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

class BackoffTest {
    private static final long MAX_DELAY = 1_600;

    private final Backoff backoff = new Backoff(new Random(1), 100, MAX_DELAY);

    @Test
    void delaysAreFromTheUpperHalfOfARangeThatDoublesUpToItsCap() {
        for (long range : new long[] {100, 200, 400, 800, 1_600, 1_600, 1_600}) {
            long delay = backoff.nextDelayMicros();
            assertTrue(delay >= range / 2 && delay <= range, delay + " of " + range);
        }
        for (int i = 0; i < 100; i++) {
            assertTrue(backoff.nextDelayMicros() <= MAX_DELAY);
        }
    }

    @Test
    void delayAfterASuccessIsThatOfAFirstFailure() {
        for (int i = 0; i < 107; i++) {
            backoff.nextDelayMicros();
        }

        backoff.reset();

        assertTrue(backoff.nextDelayMicros() <= 100);
    }

    /** Guards against a thundering herd of proxies that failed together. */
    @Test
    void delaysDifferFromProxyToProxy() {
        long distinctDelays = LongStream.range(0, 48)
                .map(seed -> new Backoff(new Random(seed), 1_000_000, 2_000_000).nextDelayMicros())
                .distinct()
                .count();

        assertEquals(48, distinctDelays);
    }
}
