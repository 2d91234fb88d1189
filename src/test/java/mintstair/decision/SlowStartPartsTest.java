package mintstair.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** What the budget of a host in slow start is made of, and what passes through it. */
class SlowStartPartsTest {
    private static final long MS = 1_000;
    private static final long SECOND = 1_000 * MS;

    @Test
    void windowSumsWhatIsYoungerThanTheSpan() {
        SlidingWindow window = new SlidingWindow();
        window.add(0, 2, SECOND);
        window.add(600 * MS, 3, SECOND);

        assertEquals(5, window.sum(SECOND - 1, SECOND));
        assertEquals(3, window.sum(SECOND, SECOND));
        assertEquals(0, window.sum(1_600 * MS, SECOND));
    }

    @Test
    void rateLeansOnWhatIsAssumedUntilItWasObserved() {
        DecayingRate rate = new DecayingRate(20 * SECOND);
        rate.add(0, 1);
        assertEquals(4.5, rate.perSecond(0, 4), 0.01);
        for (long at = 0; at < 200 * SECOND; at += 100 * MS) {
            rate.add(at, 1);
        }
        assertEquals(10, rate.perSecond(200 * SECOND, 10), 0.2);
        assertEquals(9.1, rate.perSecond(200 * SECOND, 0), 0.2);
    }

    @Test
    void throughputIsThatOfTheAnswersAndStaysWhileNoHostIsThere() {
        HostThroughput throughput = new HostThroughput();
        for (long at = 0; at <= 120 * SECOND; at += 100 * MS) {
            throughput.recordServed(2);
            throughput.advance(at, 4, 4, 4);
        }
        double known = throughput.workPerSecond(1, 0);
        assertEquals(5, known, 0.3);
        throughput.advance(180 * SECOND, 0, 0, 0);
        assertEquals(known, throughput.workPerSecond(1, 0), 1e-9);
        assertEquals(known / 2, throughput.workPerSecond(0.5, 0), 1e-9, "a host of half the mean size");
        assertEquals(known, throughput.workPerSecond(3, 0), 1e-9, "no more than a mean one");
    }

    @Test
    void throughputThatHasNotShownIsTakenFromTheDemand() {
        HostThroughput throughput = new HostThroughput();
        throughput.advance(0, 10, 10, 10);
        throughput.advance(MS, 10, 10, 10);
        assertEquals(10, throughput.workPerSecond(1, 100), 0.2);
    }

    /** Clients may ask for any multiple of what hosts do: soon only what was answered counts. */
    @Test
    void throughputIsThatOfTheAnswersHalfASecondLaterHoweverMuchIsAskedFor() {
        HostThroughput throughput = new HostThroughput();
        throughput.advance(0, 10, 10, 10);
        for (long at = 100 * MS; at <= 3 * SECOND; at += 100 * MS) {
            throughput.recordServed(10);
            throughput.advance(at, 10, 10, 10);
            if (at >= 500 * MS) {
                double known = throughput.workPerSecond(1, 100_000);
                assertTrue(known <= 10, "ten hosts answer 100 a second, at " + at + ": " + known);
            }
        }
        assertEquals(10, throughput.workPerSecond(1, 100_000), 1);
    }

    @Test
    void riseOfTheDemandShowsWithinSeconds() {
        RouterFixture fixture = new RouterFixture().start();
        ReplicaSetDemand demand = new ReplicaSetDemand();
        InFlightRequest read = request(fixture, RouterFixture.EVENTUAL_READ, 1);
        long at = 0;
        for (; at < 60 * SECOND; at += 250 * MS) {
            demand.requestArrived(at, read);
        }
        double usual = demand.readsPerSecond(at, 0);
        for (; at < 63 * SECOND; at += 50 * MS) {
            demand.requestArrived(at, read);
        }
        assertTrue(demand.readsPerSecond(at, 0) > 2.5 * usual, "five times as many came for 3 s");
        assertEquals(0, demand.primaryOnlyPerSecond(at, 0));
    }

    private static InFlightRequest request(RouterFixture fixture, int kind, long id) {
        ClassStatistics statistics =
                new ClassStatistics(fixture.settings().classes().get(kind));
        RoutingRequest request = new RoutingRequest(
                id, kind, 0, "session", -1, false, RouterFixture.CLIENT_TIMEOUT_MICROS, Positions.UNKNOWN);
        return new InFlightRequest(request, statistics, 0, Positions.UNKNOWN, false, 0.5, 6, 1);
    }

    /** What a host was sent before it was told to have started counts as well: it started a moment ago. */
    @Test
    void whatWasSentRightBeforeTheStartIsCounted() {
        RouterFixture fixture = new RouterFixture();
        fixture.hasSharedSession = false;
        fixture.start().listReplicaSet();
        for (int i = 0; i < 400; i++) {
            fixture.sendRequest(i, RouterFixture.EVENTUAL_READ);
            fixture.now += 10 * MS;
            fixture.attemptsOf(i).forEach(sent -> fixture.endAttempt(sent, 0, AttemptOutcome.SUCCESS));
        }
        int before = fixture.sentAttempts.size();
        fixture.updateEndpoints(EndpointUpdateType.DELTA, started("r1", fixture.now));
        for (int i = 1_000; i < 1_020; i++) {
            fixture.sendRequest(i, RouterFixture.EVENTUAL_READ);
            fixture.now += 10 * MS;
            fixture.attemptsOf(i).forEach(sent -> fixture.endAttempt(sent, 0, AttemptOutcome.SUCCESS));
        }
        List<RouterFixture.SentAttempt> after = fixture.sentAttempts.subList(before, fixture.sentAttempts.size());
        assertEquals(20, after.size());
        assertTrue(after.stream().noneMatch(sent -> sent.host().equals("r1")), after.toString());
    }

    /** Each way to a host passes through the gate: further attempts, trials and what only that host can serve too. */
    @Test
    void stickyRequestsAreCountedToo() {
        RouterFixture fixture = new RouterFixture();
        fixture.hasSharedSession = false;
        fixture.start().listReplicaSet();
        fixture.updateEndpoints(EndpointUpdateType.DELTA, started("p", fixture.now));
        for (int i = 0; i < 50; i++) {
            fixture.router.onRequest(
                    fixture.now,
                    new RoutingRequest(
                            i,
                            RouterFixture.EVENTUAL_READ,
                            0,
                            "session " + i,
                            -1,
                            false,
                            RouterFixture.CLIENT_TIMEOUT_MICROS,
                            Positions.UNKNOWN,
                            "p"));
        }
        assertFalse(fixture.sentAttempts.isEmpty());
        assertTrue(
                fixture.sentAttempts.size() < 10,
                "sent " + fixture.sentAttempts.size() + " of 50 at once to a host that just started");
    }

    private static EndpointEntry started(String host, long at) {
        return new EndpointEntry(host, false, "z", 0, EndpointState.SERVING, 1, at);
    }
}
