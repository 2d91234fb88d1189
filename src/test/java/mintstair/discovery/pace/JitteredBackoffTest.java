package mintstair.discovery.pace;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import mintstair.discovery.pace.WatchPacing.Failure;
import mintstair.retry.Backoff;
import org.junit.jupiter.api.Test;

/** Many proxies that start at once, against a discovery service of fixed capacity, in virtual time. */
class JitteredBackoffTest {
    private static final int ENDPOINTS = 60;
    /** What one endpoint of a list costs the service. */
    private static final long COST = 7_000;
    /** The time in the service's queue after which it rejects a call; it does the call's work all the same. */
    private static final long QUEUE_TIMEOUT = 2_000_000;

    private static final long END = 120_000_000;

    private record Call(long at, int proxy) {}

    /** The mean time until a proxy has its list; two minutes for one that has none by then. */
    private static long meanTimeToList(int proxies, long[] firstCalls, List<Backoff> backoffs) {
        PriorityQueue<Call> calls = new PriorityQueue<>((a, b) -> Long.compare(a.at, b.at));
        for (int proxy = 0; proxy < proxies; proxy++) {
            calls.add(new Call(firstCalls[proxy], proxy));
        }
        long serviceFreeAt = 0;
        long sum = proxies * END;
        while (!calls.isEmpty() && calls.peek().at < END) {
            Call call = calls.poll();
            serviceFreeAt = Math.max(serviceFreeAt, call.at) + ENDPOINTS * COST;
            if (serviceFreeAt - call.at <= QUEUE_TIMEOUT) {
                sum -= END - serviceFreeAt;
            } else {
                long delay = backoffs.get(call.proxy).nextDelayMicros();
                calls.add(new Call(call.at + QUEUE_TIMEOUT + delay, call.proxy));
            }
        }
        return sum / proxies;
    }

    private static long meanTimeToList(int proxies, long seed, boolean spread) {
        long[] firstCalls = new long[proxies];
        List<Backoff> backoffs = new ArrayList<>();
        for (int proxy = 0; proxy < proxies; proxy++) {
            Random random = new Random(seed * 1000 + proxy);
            JitteredBackoff jittered = new JitteredBackoff(proxies, ENDPOINTS, random);
            firstCalls[proxy] = (long) (random.nextDouble() * 100_000);
            backoffs.add(
                    spread
                            ? jittered.upTo(WatchPacing.MAX_DELAY_AFTER_REJECTION_MICROS)
                            : new Backoff(random, 100_000, 2_000_000));
        }
        return meanTimeToList(proxies, firstCalls, backoffs);
    }

    /**
     * Guards against a service that is kept busy with responses that nobody waits for any more. Its work for 14
     * proxies, 5.9 s, is about all that can be done within the notification deadline of 6 s.
     */
    @Test
    void allProxiesOfALargeFleetGetTheirListAfterACommonStart() {
        long sum = 0;
        for (long seed = 0; seed < 200; seed++) {
            long mean = meanTimeToList(14, seed, true);
            assertTrue(mean < 60_000_000, "seed " + seed + ": " + mean / 1e6 + " s");
            sum += mean;
        }
        assertTrue(sum / 200 < 28_000_000, sum / 200e6 + " s");
    }

    /** The counter-test of the one above: without the spread most proxies get no list. */
    @Test
    void proxiesThatRetrySoonWithoutSpreadMostlyGetNoList() {
        long sum = 0;
        for (long seed = 0; seed < 200; seed++) {
            sum += meanTimeToList(14, seed, false);
        }
        assertTrue(sum / 200 > END / 2, sum / 200e6 + " s");
    }

    /**
     * A service that was unreachable, with calls in flight in every state, and then serves one call after the other:
     * from then on every fleet gets its list by the notification deadline, and its calls do not arrive as a thundering
     * herd.
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
        // 120 at 30 ms each are 3.6 s of work; the service can do no more in the time.
        long cost = Math.min(30_000, 3_600_000 / proxies);
        long reachableAt = 60_000_000;
        // Within a tenth of a second at most twice the mean rate of the delays, and some by chance.
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

    /** From one call that fails to the next: a call that times out does so late, the others fail at once. */
    private static long retryPeriod(WatchPacing pacing, Failure failure) {
        return (failure == Failure.TIMED_OUT ? pacing.responseTimeoutMicros(0) : 0) + pacing.retryDelayMicros(failure);
    }

    /** When a proxy whose calls have all failed first calls after the service became reachable; that call succeeds. */
    private static long firstCallAfter(long reachableAt, WatchPacing pacing, Failure failure) {
        long at = 0;
        while (at < reachableAt) {
            at += retryPeriod(pacing, failure);
        }
        return at;
    }

    @Test
    void delaysFollowProxiesAndEndpointsWithinBounds() {
        for (int i = 0; i < 100; i++) {
            Backoff small =
                    new JitteredBackoff(3, 12, new Random(i)).upTo(WatchPacing.MAX_DELAY_AFTER_REJECTION_MICROS);
            assertTrue(small.nextDelayMicros() < 300_000, "few proxies with short lists hardly wait");
            Backoff large = new JitteredBackoff(1000, 100_000, new Random(i)).upTo(2_000_000);
            for (int n = 0; n < 10; n++) {
                long delay = large.nextDelayMicros();
                assertTrue(delay > 0 && delay <= 2_000_000, delay + "");
            }
        }
    }
}
