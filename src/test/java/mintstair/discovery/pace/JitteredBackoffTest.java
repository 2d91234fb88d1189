package mintstair.discovery.pace;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import mintstair.discovery.pace.WatchPacing.Failure;
import mintstair.retry.Backoff;
import org.junit.jupiter.api.Test;

/**
 * Simulates many proxies whose calls fail at the same time, and a discovery service with a fixed cost per call, in
 * virtual time. All times are in microseconds.
 */
class JitteredBackoffTest {
    private static final int ENDPOINTS = 60;
    /** The time that the service takes per endpoint of a list. */
    private static final long COST_PER_ENDPOINT = 7_000;
    /** The time in the queue after which the service rejects a call; it does the work of the call nevertheless. */
    private static final long QUEUE_TIMEOUT = 2_000_000;

    private static final long SIMULATED_TIME = 120_000_000;

    private record Call(long sentAt, int proxy) {}

    /**
     * Returns the mean time until a proxy has its list. A proxy that has none at the end of the simulated time counts
     * with the whole of it.
     */
    private static long meanTimeToList(int proxies, long[] firstCalls, List<Backoff> backoffs) {
        PriorityQueue<Call> calls = new PriorityQueue<>((a, b) -> Long.compare(a.sentAt, b.sentAt));
        for (int proxy = 0; proxy < proxies; proxy++) {
            calls.add(new Call(firstCalls[proxy], proxy));
        }
        long serviceFreeAt = 0;
        long sum = proxies * SIMULATED_TIME;
        while (!calls.isEmpty() && calls.peek().sentAt < SIMULATED_TIME) {
            Call call = calls.poll();
            serviceFreeAt = Math.max(serviceFreeAt, call.sentAt) + ENDPOINTS * COST_PER_ENDPOINT;
            if (serviceFreeAt - call.sentAt <= QUEUE_TIMEOUT) {
                sum -= SIMULATED_TIME - serviceFreeAt;
            } else {
                long delay = backoffs.get(call.proxy).nextDelayMicros();
                calls.add(new Call(call.sentAt + QUEUE_TIMEOUT + delay, call.proxy));
            }
        }
        return sum / proxies;
    }

    /** As above, for proxies that start within 100 ms, with or without the spread of {@link JitteredBackoff}. */
    private static long meanTimeToList(int proxies, long seed, boolean spread) {
        long[] firstCalls = new long[proxies];
        List<Backoff> backoffs = new ArrayList<>();
        for (int proxy = 0; proxy < proxies; proxy++) {
            Random random = new Random(seed * 1000 + proxy);
            JitteredBackoff jittered = new JitteredBackoff(proxies, ENDPOINTS, random);
            firstCalls[proxy] = (long) (random.nextDouble() * 100_000);
            backoffs.add(
                    spread
                            ? jittered.withMaxDelay(WatchPacing.MAX_DELAY_AFTER_REJECTION_MICROS)
                            : new Backoff(random, 100_000, 2_000_000));
        }
        return meanTimeToList(proxies, firstCalls, backoffs);
    }

    /**
     * Guards against retries that keep the service busy with calls that it has already rejected. Its work for 14
     * proxies, 5.9 s, is about as much as fits into the notification deadline of 6 s.
     */
    @Test
    void proxiesThatStartTogetherGetTheirListWithSpreadRetries() {
        long sum = 0;
        for (long seed = 0; seed < 200; seed++) {
            long mean = meanTimeToList(14, seed, true);
            assertTrue(mean < 60_000_000, "seed " + seed + ": " + mean / 1e6 + " s");
            sum += mean;
        }
        assertTrue(sum / 200 < 28_000_000, sum / 200e6 + " s");
    }

    /** Shows that the scenario above needs the spread. */
    @Test
    void mostProxiesThatStartTogetherGetNoListWithoutSpreadRetries() {
        long sum = 0;
        for (long seed = 0; seed < 200; seed++) {
            sum += meanTimeToList(14, seed, false);
        }
        assertTrue(sum / 200 > SIMULATED_TIME / 2, sum / 200e6 + " s");
    }

    /**
     * The service was unreachable, so that the calls of the proxies are at any point of their retries, and then
     * processes one call at a time. From then on every fleet must get its list by the notification deadline, and its
     * calls must not arrive as a thundering herd.
     */
    @Test
    void fleetMeetsTheNotificationDeadlineOnceTheServiceIsReachable() {
        for (int proxies : new int[] {3, 30, 120, 1024}) {
            for (long seed = 0; seed < 20; seed++) {
                for (Failure failure : Failure.values()) {
                    assertFleetIsServedInTime(proxies, seed, failure);
                }
            }
        }
    }

    private static void assertFleetIsServedInTime(int proxies, long seed, Failure failure) {
        // 120 calls of 30 ms take 3.6 s, which is as much as the service can do in the time.
        long cost = Math.min(30_000, 3_600_000 / proxies);
        long reachableAt = 60_000_000;
        // Calls within 100 ms: twice the mean rate, and 10 for chance.
        int maxBurst = 10 + (int) (2 * proxies * 100_000 / meanRetryPeriod(failure));
        List<Long> calls = new ArrayList<>();
        for (int proxy = 0; proxy < proxies; proxy++) {
            WatchPacing pacing = WatchPacing.forSharedService(proxies, 120, new Random(seed * 5_000 + proxy));
            calls.add(firstCallAfter(reachableAt, pacing, failure));
        }
        calls.sort(null);
        long serviceFreeAt = reachableAt;
        for (int i = 0; i < proxies; i++) {
            serviceFreeAt = Math.max(serviceFreeAt, calls.get(i)) + cost;
            assertTrue(
                    serviceFreeAt < reachableAt + WatchPacing.NOTIFICATION_DEADLINE_MICROS,
                    failure + ": call " + i + " of " + proxies + " after " + (serviceFreeAt - reachableAt) / 1e6
                            + " s");
            assertTrue(
                    i < maxBurst || calls.get(i) - calls.get(i - maxBurst) > 100_000,
                    failure + ": a thundering herd of " + proxies);
        }
    }

    private static double meanRetryPeriod(Failure failure) {
        WatchPacing pacing = WatchPacing.forSharedService(120, 120, new Random(1));
        double sum = 0;
        for (int n = 0; n < 1_000; n++) {
            sum += retryPeriod(pacing, failure);
        }
        return sum / 1_000;
    }

    /** Returns the time from a failed call to its retry: a call that times out takes that time, others fail at once. */
    private static long retryPeriod(WatchPacing pacing, Failure failure) {
        return (failure == Failure.TIMED_OUT ? pacing.responseTimeoutMicros(0) : 0) + pacing.retryDelayMicros(failure);
    }

    /** Returns when a proxy whose earlier calls all failed makes its first call to the service once it is reachable. */
    private static long firstCallAfter(long reachableAt, WatchPacing pacing, Failure failure) {
        long at = 0;
        while (at < reachableAt) {
            at += retryPeriod(pacing, failure);
        }
        return at;
    }

    @Test
    void delaysGrowWithProxiesAndEndpointsWithinBounds() {
        for (int i = 0; i < 100; i++) {
            Backoff small = new JitteredBackoff(3, 12, new Random(i))
                    .withMaxDelay(WatchPacing.MAX_DELAY_AFTER_REJECTION_MICROS);
            assertTrue(small.nextDelayMicros() < 300_000, "delay of few proxies with a short list");
            Backoff large = new JitteredBackoff(1000, 100_000, new Random(i)).withMaxDelay(2_000_000);
            for (int n = 0; n < 10; n++) {
                long delay = large.nextDelayMicros();
                assertTrue(delay > 0 && delay <= 2_000_000, "delay of many proxies with a long list: " + delay);
            }
        }
    }
}
