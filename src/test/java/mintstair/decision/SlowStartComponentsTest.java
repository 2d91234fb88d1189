package mintstair.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Tests the estimates from which the budget of a host in slow start is computed, and which attempts count against it.
 */
class SlowStartComponentsTest {
    private static final long MS = 1_000;
    private static final long SECOND = 1_000 * MS;

    @Test
    void windowSumsAmountsYoungerThanTheSpan() {
        SlidingWindow window = new SlidingWindow();
        window.add(0, 2, SECOND);
        window.add(600 * MS, 3, SECOND);

        assertEquals(5, window.sum(SECOND - 1, SECOND));
        assertEquals(3, window.sum(SECOND, SECOND));
        assertEquals(0, window.sum(1_600 * MS, SECOND));
    }

    @Test
    void rateStartsNearTheAssumedRateAndFollowsTheObservedOne() {
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
    void throughputFollowsRepliesAndIsKeptWhileThereAreNoHosts() {
        HostThroughput throughput = new HostThroughput();
        for (long at = 0; at <= 120 * SECOND; at += 100 * MS) {
            throughput.recordServed(2);
            throughput.advance(at, 4, 4, 4);
        }
        double observed = throughput.workPerSecond(1, 0);
        assertEquals(5, observed, 0.3);
        throughput.advance(180 * SECOND, 0, 0, 0);
        assertEquals(observed, throughput.workPerSecond(1, 0), 1e-9);
        assertEquals(observed / 2, throughput.workPerSecond(0.5, 0), 1e-9, "host of half the mean size");
        assertEquals(observed, throughput.workPerSecond(3, 0), 1e-9, "host of three times the mean size");
    }

    @Test
    void throughputIsAssumedToEqualDemandBeforeAnyReply() {
        HostThroughput throughput = new HostThroughput();
        throughput.advance(0, 10, 10, 10);
        throughput.advance(MS, 10, 10, 10);
        assertEquals(10, throughput.workPerSecond(1, 100), 0.2);
    }

    /**
     * Clients may ask for any multiple of the capacity of the hosts, so replies alone must soon determine the
     * throughput.
     */
    @Test
    void throughputIsIndependentOfDemandHalfASecondAfterStart() {
        HostThroughput throughput = new HostThroughput();
        throughput.advance(0, 10, 10, 10);
        for (long at = 100 * MS; at <= 3 * SECOND; at += 100 * MS) {
            throughput.recordServed(10);
            throughput.advance(at, 10, 10, 10);
            if (at >= 500 * MS) {
                double observed = throughput.workPerSecond(1, 100_000);
                assertTrue(observed <= 10, "each host serves 10 per second, but at " + at + " us got " + observed);
            }
        }
        assertEquals(10, throughput.workPerSecond(1, 100_000), 1);
    }

    @Test
    void demandFollowsARiseWithinSeconds() {
        RouterFixture fixture = new RouterFixture().start();
        ReplicaSetDemand demand = new ReplicaSetDemand();
        InFlightRequest read = request(fixture, RouterFixture.EVENTUAL_READ, 1);
        long at = 0;
        for (; at < 60 * SECOND; at += 250 * MS) {
            demand.requestArrived(at, read);
        }
        double rateBefore = demand.readsPerSecond(at, 0);
        for (; at < 63 * SECOND; at += 50 * MS) {
            demand.requestArrived(at, read);
        }
        assertTrue(demand.readsPerSecond(at, 0) > 2.5 * rateBefore, "the rate is five times as high for 3 s");
        assertEquals(0, demand.primaryOnlyPerSecond(at, 0));
    }

    private static InFlightRequest request(RouterFixture fixture, int classIndex, long id) {
        ClassStatistics statistics =
                new ClassStatistics(fixture.settings().classes().get(classIndex));
        RoutingRequest request = new RoutingRequest(
                id, classIndex, 0, "session", -1, false, RouterFixture.CLIENT_TIMEOUT_MICROS, Positions.UNKNOWN);
        return new InFlightRequest(request, statistics, 0, Positions.UNKNOWN, false, 0.5, 6, 1);
    }

    /**
     * Attempts that were sent before the endpoint list reported the start count too, because the host had already
     * started then.
     */
    @Test
    void attemptsSentBeforeTheStartIsListedAreCounted() {
        RouterFixture fixture = new RouterFixture();
        fixture.hasSharedSession = false;
        fixture.start().listReplicaSet();
        for (int i = 0; i < 400; i++) {
            fixture.sendRequest(i, RouterFixture.EVENTUAL_READ);
            fixture.now += 10 * MS;
            fixture.attemptsOf(i).forEach(sent -> fixture.endAttempt(sent, 0, AttemptOutcome.SUCCESS));
        }
        int sentBefore = fixture.sentAttempts.size();
        fixture.updateEndpoints(EndpointUpdateType.DELTA, startedEntry("r1", fixture.now));
        for (int i = 1_000; i < 1_020; i++) {
            fixture.sendRequest(i, RouterFixture.EVENTUAL_READ);
            fixture.now += 10 * MS;
            fixture.attemptsOf(i).forEach(sent -> fixture.endAttempt(sent, 0, AttemptOutcome.SUCCESS));
        }
        List<RouterFixture.SentAttempt> after = fixture.sentAttempts.subList(sentBefore, fixture.sentAttempts.size());
        assertEquals(20, after.size());
        assertTrue(after.stream().noneMatch(attempt -> attempt.host().equals("r1")), after.toString());
    }

    /**
     * Every path to a host in slow start must respect the budget: retries, trial requests and requests that only this
     * host can serve.
     */
    @Test
    void stickyRequestsAreSubjectToTheBudget() {
        RouterFixture fixture = new RouterFixture();
        fixture.hasSharedSession = false;
        fixture.start().listReplicaSet();
        fixture.updateEndpoints(EndpointUpdateType.DELTA, startedEntry("p", fixture.now));
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
                "sent " + fixture.sentAttempts.size() + " of 50 requests at once to a host that has just started");
    }

    private static EndpointEntry startedEntry(String host, long at) {
        return new EndpointEntry(host, false, "z", 0, EndpointState.SERVING, 1, at);
    }
}
