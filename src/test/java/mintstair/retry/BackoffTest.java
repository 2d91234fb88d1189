package mintstair.retry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

class BackoffTest {
    /** Guards against a herd: waits double to the cap, and proxies that failed together come again at different times. */
    @Test
    void waitsDoubleToTheirCapAndDifferFromProxyToProxy() {
        Backoff one = new Backoff(new Random(1), 100, 1_600);
        for (long span : new long[] {100, 200, 400, 800, 1_600, 1_600, 1_600}) {
            long wait = one.next();
            assertTrue(wait >= span / 2 && wait <= span, wait + " of " + span);
        }
        for (int i = 0; i < 100; i++) {
            assertTrue(one.next() <= 1_600);
        }
        one.reset();
        assertTrue(one.next() <= 100);
        assertEquals(
                48,
                LongStream.range(0, 48)
                        .map(seed -> new Backoff(new Random(seed), 1_000_000, 2_000_000).next())
                        .distinct()
                        .count());
    }
}
