package mintstair.discovery.pace;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import mintstair.retry.Backoff;
import org.junit.jupiter.api.Test;

/** Many proxies that start at once, against a list service of fixed capacity, in virtual time. */
class CallSpreadTest {
    private static final int LINES = 60;
    /** What a line costs the service, and after which time in its queue a call is turned away; the work is done all the same. */
    private static final long COST = 7_000;
    private static final long PATIENCE = 2_000_000;

    private static final long END = 120_000_000;

    private record Ask(long at, int proxy) { }

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
            CallSpread calls = new CallSpread(proxies, LINES, random);
            first[p] = (long) (random.nextDouble() * 100_000);
            retries.add(spread ? calls.retries() : new Backoff(random, 100_000, 2_000_000));
        }
        return meanServed(proxies, first, retries);
    }

    /** Guards against a service that is kept busy with answers that nobody waits for any more. */
    @Test
    void allProxiesOfALargeFleetGetTheirListSoonAfterACommonStart() {
        long sum = 0;
        for (long seed = 0; seed < 200; seed++) {
            long mean = meanServed(14, seed, true);
            assertTrue(mean < 25_000_000, "seed " + seed + ": " + mean / 1e6 + " s");
            sum += mean;
        }
        assertTrue(sum / 200 < 12_000_000, sum / 200e6 + " s");
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
            assertTrue(new CallSpread(3, 12, new Random(i)).retries().next() < 300_000);
            Backoff retries = new CallSpread(1000, 100_000, new Random(i)).retries();
            for (int n = 0; n < 10; n++) {
                long wait = retries.next();
                assertTrue(wait > 0 && wait <= CallSpread.LONGEST, wait + "");
            }
        }
    }
}
