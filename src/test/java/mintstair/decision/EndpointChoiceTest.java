package mintstair.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * The parts that choose an endpoint: directory, freshness, health checks, replica selection, the primary and its
 * admission.
 */
class EndpointChoiceTest {
    private static final long MS = RouterFixture.MS;
    private static final long SECOND = 1_000 * MS;

    private final RouterFixture fixture = new RouterFixture();
    private RouterSettings settings = fixture.settings();
    private final RequestClassTable classes = new RequestClassTable();
    private final RequestRate requestRate = new RequestRate(0);
    private final FleetShare fleetShare = new FleetShare();
    private final PositionClock positions = new PositionClock();
    private final PooledLimits pooled = PooledLimits.create(1);
    private final ReplicationMonitor replication = new ReplicationMonitor();
    private final SlowStartController slowStarts = new SlowStartController(() -> settings, positions, fixture);
    private final FailureDetector detector = new FailureDetector(
            () -> settings, classes, new RouterClock(0), positions, slowStarts, fixture, (now, endpoint) -> {});
    private final ReplicaFreshness freshness = new ReplicaFreshness(positions, replication, detector);
    private final SlowStartBudget budget =
            new SlowStartBudget(() -> settings, fleetShare, () -> 1, new RequestDemand(), new HostThroughput());
    private final ReplicaSelector selector = new ReplicaSelector(() -> settings, freshness, budget, new Random(1));
    private final HealthChecker healthChecker =
            new HealthChecker(() -> settings, classes, requestRate, freshness, new Random(1), fixture);
    private final PrimaryTracker primaries =
            new PrimaryTracker(() -> settings, fleetShare, positions, healthChecker, fixture);
    private final EndpointDirectory directory =
            new EndpointDirectory(() -> settings, fleetShare, pooled, slowStarts, primaries, new Random(1));
    private final PrimaryAdmission admission = new PrimaryAdmission(() -> settings, pooled, budget);

    @BeforeEach
    void listThreeEndpoints() {
        classes.apply(settings);
        fleetShare.apply(settings);
        directory.update(
                0,
                EndpointUpdateType.SNAPSHOT,
                List.of(
                        RouterFixture.servingEntry("p"),
                        RouterFixture.servingEntry("r1"),
                        RouterFixture.servingEntry("r2")));
        primaries.primaryObserved(directory.endpoint("p"), 0);
    }

    private ReplicaSet replicaSet() {
        return directory.replicaSet(0);
    }

    private InFlightRequest request(int classIndex) {
        RoutingRequest request =
                new RoutingRequest(1, classIndex, 0, "session", -1, false, 2 * SECOND, Positions.UNKNOWN);
        return new InFlightRequest(request, classes.get(classIndex), 0, Positions.UNKNOWN, false, 0.5, 6, 1);
    }

    private Endpoint select(long now, int classIndex) {
        InFlightRequest read = request(classIndex);
        long required = freshness.requiredPosition(now, read);
        return selector.select(now, replicaSet(), read, new ReadRequirement(required, 0, true));
    }

    // ---- directory ----

    @Test
    void endpointMissingFromASnapshotIsRemovedAndLaterForgotten() {
        directory.update(
                SECOND,
                EndpointUpdateType.SNAPSHOT,
                List.of(RouterFixture.servingEntry("p"), RouterFixture.servingEntry("r1")));
        assertFalse(directory.endpoint("r2").isServing());
        directory.update(12 * SECOND, EndpointUpdateType.DELTA, List.of());
        assertNull(directory.endpoint("r2"));
        assertEquals(2, replicaSet().members.size());
    }

    @Test
    void endpointThatMovesStartsAnewInItsReplicaSet() {
        EndpointEntry moved = new EndpointEntry("r1", false, "z", 7, EndpointState.SERVING, 1, 0);
        directory.update(SECOND, EndpointUpdateType.DELTA, List.of(moved));
        assertEquals(7, directory.endpoint("r1").replicaSet.number);
        assertEquals(2, replicaSet().members.size());
    }

    @Test
    void startThatTheListTellsBeginsASlowStart() {
        EndpointEntry started = new EndpointEntry("r1", false, "z", 0, EndpointState.SERVING, 1, SECOND);
        directory.update(2 * SECOND, EndpointUpdateType.DELTA, List.of(started));
        Endpoint endpoint = directory.endpoint("r1");
        assertEquals(0.28, endpoint.capacityShare(2 * SECOND, settings.protection()), 1e-9);
        assertEquals(1, endpoint.capacityShare(12 * SECOND, settings.protection()), 1e-9);
    }

    // ---- freshness and replica selection ----

    @Test
    void readIsSentOnlyToAReplicaProvenToBeRecentEnough() {
        assertNull(select(SECOND, RouterFixture.BOUNDED_READ));
        replication.positionReported(SECOND, directory.endpoint("r2"), 900 * MS, 100 * MS);
        assertEquals("r2", select(SECOND, RouterFixture.BOUNDED_READ).name);
        assertNull(select(2 * SECOND, RouterFixture.BOUNDED_READ));
    }

    @Test
    void toleranceAdmitsReplicasThatAreLikelyRecentEnough() {
        replication.positionReported(SECOND, directory.endpoint("r1"), 900 * MS, 100 * MS);
        InFlightRequest read = request(RouterFixture.BOUNDED_READ);
        long now = 2 * SECOND;
        long required = freshness.requiredPosition(now, read);
        ReadRequirement tolerant = new ReadRequirement(required, 300 * MS, true);
        assertTrue(freshness.isRecentEnough(now, directory.endpoint("r1"), read, tolerant));
        directory.endpoint("r1").replication.misdirectedAt = now;
        assertFalse(freshness.isRecentEnough(now, directory.endpoint("r1"), read, tolerant));
    }

    @Test
    void readsSpreadOverReplicasAndAvoidOutliers() {
        Endpoint failing = directory.endpoint("r1");
        for (int i = 0; i < 20; i++) {
            failing.outliers.recordOutcome(true);
        }
        Map<String, Integer> counts = new HashMap<>();
        for (int i = 0; i < 1_000; i++) {
            counts.merge(select(0, RouterFixture.EVENTUAL_READ).name, 1, Integer::sum);
        }
        assertTrue(counts.get("r2") > 900, counts.toString());
        assertTrue(counts.getOrDefault("r1", 0) < 60, counts.toString());
    }

    @Test
    void replicaThatRejectedForWantOfCapacityRests() {
        directory.endpoint("r1").overloadedAt = SECOND;
        for (int i = 0; i < 50; i++) {
            assertEquals("r2", select(SECOND + 99 * MS, RouterFixture.EVENTUAL_READ).name);
        }
    }

    @Test
    void crowdedReplicaSitsOut() {
        directory.endpoint("r1").inFlight = 4;
        for (int i = 0; i < 50; i++) {
            assertEquals("r2", select(0, RouterFixture.EVENTUAL_READ).name);
        }
        assertTrue(ReplicaSelector.hasExcessLoad(directory.endpoint("r1")));
        assertFalse(ReplicaSelector.hasExcessLoad(directory.endpoint("r2")));
    }

    // ---- health checks ----

    @Test
    void pollsOnDemandStayWithinTheirBudget() {
        for (int i = 0; i < 20; i++) {
            long now = (i + 1) * SECOND;
            healthChecker.checkOnDemand(now, replicaSet(), request(RouterFixture.BOUNDED_READ), now - 200 * MS);
            directory.endpoints().forEach(endpoint -> endpoint.healthCheck.inFlight = false);
        }
        assertEquals(10, fixture.healthChecks.size());
    }

    @Test
    void readWaitsForAPollThatIsOut() {
        InFlightRequest read = request(RouterFixture.BOUNDED_READ);
        assertTrue(healthChecker.checkOnDemand(10 * SECOND, replicaSet(), read, 9_800 * MS));
        assertEquals(2, fixture.healthChecks.size());
        assertTrue(healthChecker.checkOnDemand(10 * SECOND + 10 * MS, replicaSet(), read, 9_800 * MS));
        assertEquals(2, fixture.healthChecks.size());
    }

    @Test
    void timedPollsGetRarerWithTheirPrice() {
        for (int i = 1; i <= 2_000; i++) {
            requestRate.requestArrived(i * MS);
        }
        long now = 2 * SECOND;
        assertTrue(healthChecker.interval(now, 3) < 100 * MS);
        long many = healthChecker.interval(now, 3_000);
        assertTrue(many > SECOND, "interval " + many);
        assertFalse(HealthChecker.isPeriodic(many));
    }

    // ---- primary ----

    @Test
    void newestEvidenceOfThePrimaryCounts() {
        primaries.primaryObserved(directory.endpoint("r1"), 3 * SECOND);
        primaries.primaryObserved(directory.endpoint("p"), 2 * SECOND);
        assertEquals("r1", replicaSet().primary.name);
        primaries.replicaObserved(directory.endpoint("r1"), 2 * SECOND);
        assertEquals("r1", replicaSet().primary.name);
        primaries.replicaObserved(directory.endpoint("r1"), 4 * SECOND);
        assertNull(replicaSet().primary);
    }

    @Test
    void primaryUnheardOfIsCheckedBeforeItIsUsed() {
        Endpoint primary = directory.endpoint("p");
        detector.endpointReplied(SECOND, primary, true);
        assertTrue(primaries.confirmPrimary(SECOND + 900 * MS, replicaSet()));
        assertTrue(fixture.healthChecks.isEmpty());
        assertFalse(primaries.confirmPrimary(3 * SECOND, replicaSet()));
        assertEquals(List.of("p"), fixture.healthChecks);
    }

    @Test
    void searchForAPrimaryBacksOff() {
        replicaSet().primary = null;
        for (long now = SECOND; now < 11 * SECOND; now += 10 * MS) {
            primaries.confirmPrimary(now, replicaSet());
            directory.endpoints().forEach(endpoint -> endpoint.healthCheck.inFlight = false);
        }
        assertEquals(3 * 15, fixture.healthChecks.size(), 6);
    }

    @Test
    void primaryAdmitsUpToItsLimit() {
        Endpoint primary = directory.endpoint("p");
        assertNotNull(admission.admit(SECOND, replicaSet(), request(RouterFixture.NON_IDEMPOTENT_WRITE)));
        primary.inFlight = 1_000;
        assertNull(admission.admit(SECOND, replicaSet(), request(RouterFixture.NON_IDEMPOTENT_WRITE)));
    }

    @Test
    void readsThatFallBackInMassAreAdmittedInPart() {
        for (int i = 0; i < 100; i++) {
            admission.recordReadDecision(replicaSet(), true);
        }
        assertNull(admission.admit(SECOND, replicaSet(), request(RouterFixture.BOUNDED_READ)));
        assertNotNull(admission.admit(SECOND, replicaSet(), request(RouterFixture.NON_IDEMPOTENT_WRITE)));
    }

    @Test
    void primaryThatRejectedForWantOfCapacityRests() {
        directory.endpoint("p").overloadedAt = SECOND;
        assertNull(admission.admit(SECOND + 99 * MS, replicaSet(), request(RouterFixture.NON_IDEMPOTENT_WRITE)));
        assertNotNull(admission.admit(SECOND + 100 * MS, replicaSet(), request(RouterFixture.NON_IDEMPOTENT_WRITE)));
    }
}
