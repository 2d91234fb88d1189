package mintstair.discovery.pace;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import mintstair.retry.Backoff;
import org.junit.jupiter.api.Test;

/** Many proxies that start at once, against a list service of fixed capacity, in virtual time. */
class JitteredBackoffTest {
    private static final int LINES = 60;
    /** What a line costs the service, and after which time in its queue a call is turned away; the work is done all the same. */
    private static final long COST = 7_000;

    private static final long PATIENCE = 2_000_000;

    private static final long END = 120_000_000;

    private record Ask(long at, int proxy) {}

    /** The mean time until a proxy has its list; two minutes for one that has none by then. */
    private static long meanServed(int proxies, long[] first, List<Backoff> retries) {
        PriorityQueue<Ask> asks = new PriorityQueue<>((a, b) -> Long.compare(a.at, b.at));
        for (int p = 0; p < proxies; p++) {
            asks.add(new Ask(first[p], p));
        }
        long free = 0;
        long sum = proxies * END;
        while (!asks.isEmpty() && asks.peek().at < END) {
            Ask ask = asks.poll();
            free = Math.max(free, ask.at) + LINES * COST;
            if (free - ask.at <= PATIENCE) {
                sum -= END - free;
            } else {
                asks.add(new Ask(ask.at + PATIENCE + retries.get(ask.proxy).next(), ask.proxy));
            }
        }
        return sum / proxies;
    }

    private static long meanServed(int proxies, long seed, boolean spread) {
        long[] first = new long[proxies];
        List<Backoff> retries = new ArrayList<>();
        for (int p = 0; p < proxies; p++) {
            Random random = new Random(seed * 1000 + p);
            JitteredBackoff calls = new JitteredBackoff(proxies, LINES, random);
            first[p] = (long) (random.nextDouble() * 100_000);
            retries.add(spread ? calls.upTo(WatchPacing.TURNED_AWAY_MOST) : new Backoff(random, 100_000, 2_000_000));
        }
        return meanServed(proxies, first, retries);
    }

    /**
     * Guards against a service that is kept busy with answers that nobody waits for any more: one whose work for 14 proxies, 5.9 s,
     * is about all that can be done in the 6 s by which they count as told.
     */
    @Test
    void allProxiesOfALargeFleetGetTheirListAfterACommonStart() {
        long sum = 0;
        for (long seed = 0; seed < 200; seed++) {
            long mean = meanServed(14, seed, true);
            assertTrue(mean < 60_000_000, "seed " + seed + ": " + mean / 1e6 + " s");
            sum += mean;
        }
        assertTrue(sum / 200 < 28_000_000, sum / 200e6 + " s");
    }

    /**
     * A service that could not be reached for a while, by calls that were under way in each state, and then works off one call after
     * the other: from then on, what it has is known to all proxies of any fleet in time, and they do not come as a herd.
     */
    @Test
    void fleetLearnsInTimeWhatAServiceHasOnceItCanBeReached() {
        for (int proxies : new int[] {3, 30, 120, 1024}) {
            // 120 at 30 ms each are 3.6 s of work; of more it can do no more in the time.
            long cost = Math.min(30_000, 3_600_000 / proxies);
            for (long seed = 0; seed < 20; seed++) {
                for (WatchPacing.Failure why : WatchPacing.Failure.values()) {
                    int atOnce = 10 + (int) (2 * proxies * 100_000 / meanWait(why));
                    List<Long> calls = new ArrayList<>();
                    for (int p = 0; p < proxies; p++) {
                        calls.add(firstCallAfter(
                                60_000_000, WatchPacing.asked(proxies, 120, new Random(seed * 5_000 + p)), why));
                    }
                    calls.sort(null);
                    long free = 60_000_000;
                    for (int i = 0; i < proxies; i++) {
                        free = Math.max(free, calls.get(i)) + cost;
                        assertTrue(
                                free < 60_000_000 + WatchPacing.COUNTS,
                                why + ": the " + i + "th of " + proxies + " after " + (free - 60_000_000) / 1e6 + " s");
                        // Within a tenth of a second no more than twice what comes in the mean of the waits, and some
                        // by chance.
                        assertTrue(
                                i < atOnce || calls.get(i) - calls.get(i - atOnce) > 100_000,
                                why + ": a herd of " + proxies);
                    }
                }
            }
        }
    }

    private static double meanWait(WatchPacing.Failure why) {
        WatchPacing pace = WatchPacing.asked(120, 120, new Random(1));
        double sum = 0;
        for (int n = 0; n < 1_000; n++) {
            sum += (why == WatchPacing.Failure.GIVEN_UP ? pace.missingAfter(0) : 0) + pace.retry(why);
        }
        return sum / 1_000;
    }

    /** When a proxy whose calls have failed since the beginning first calls once the service is back; that call is answered. */
    private static long firstCallAfter(long back, WatchPacing pace, WatchPacing.Failure why) {
        long at = 0;
        while (at < back) {
            // A call that was made before hears nothing, or at once that it has failed.
            at += (why == WatchPacing.Failure.GIVEN_UP ? pace.missingAfter(0) : 0) + pace.retry(why);
        }
        return at;
    }

    /** Without it most find no end: what the test above sees is the spread's doing. */
    @Test
    void theyDoNotWhereAllAskAtOnceAndSoonAgain() {
        long sum = 0;
        for (long seed = 0; seed < 200; seed++) {
            sum += meanServed(14, seed, false);
        }
        assertTrue(sum / 200 > END / 2, sum / 200e6 + " s");
    }

    /** A few proxies with short lists wait for hardly anything, and no list puts a proxy off for long. */
    @Test
    void spanFollowsProxiesAndLinesWithinBounds() {
        for (int i = 0; i < 100; i++) {
            assertTrue(new JitteredBackoff(3, 12, new Random(i))
                            .upTo(WatchPacing.TURNED_AWAY_MOST)
                            .next()
                    < 300_000);
            Backoff retries = new JitteredBackoff(1000, 100_000, new Random(i)).upTo(2_000_000);
            for (int n = 0; n < 10; n++) {
                long wait = retries.next();
                assertTrue(wait > 0 && wait <= 2_000_000, wait + "");
            }
        }
    }
}
