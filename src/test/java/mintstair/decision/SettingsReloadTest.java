package mintstair.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.function.Function;
import mintstair.request.ReplicationRole;
import org.junit.jupiter.api.Test;

/**
 * Tests that a reload of the settings leaves no effect of the former ones, that a tenant does not use up the capacity
 * of another, and that a shutdown answers all open requests.
 */
class SettingsReloadTest {
    private static final long MS = RouterFixture.MS;

    private static RouterSettings with(
            RouterSettings base,
            int fleetSize,
            List<RequestClass> classes,
            List<Tenant> tenants,
            ProtectionSettings protection) {
        return new RouterSettings(
                fleetSize,
                base.instanceIndex(),
                base.zone(),
                classes,
                tenants,
                base.overQuotaWeight(),
                base.remembersSessionTokens(),
                base.replicaReadCheck(),
                base.positionsInResponses(),
                base.listReportsRole(),
                base.subscribesToEndpoints(),
                base.clientsMarkRetries(),
                base.healthCheckCost(),
                base.crossZoneCost(),
                protection,
                base.limits());
    }

    private static RouterSettings withRememberedSessions(RouterSettings base) {
        return new RouterSettings(
                base.fleetSize(),
                base.instanceIndex(),
                base.zone(),
                base.classes(),
                base.tenants(),
                base.overQuotaWeight(),
                true,
                base.replicaReadCheck(),
                base.positionsInResponses(),
                base.listReportsRole(),
                base.subscribesToEndpoints(),
                base.clientsMarkRetries(),
                base.healthCheckCost(),
                base.crossZoneCost(),
                base.protection(),
                base.limits());
    }

    private static RouterSettings withProtection(RouterSettings base, ProtectionSettings protection) {
        return with(base, base.fleetSize(), base.classes(), base.tenants(), protection);
    }

    private static EndpointEntry started(String host, long at) {
        return new EndpointEntry(host, false, "z", 0, EndpointState.SERVING, 1, at);
    }

    /**
     * Returns how many of 200 routers send a read to the host after they have received this entry of the list and then
     * a reload of the settings.
     */
    private static long readsSentTo(
            String host,
            EndpointEntry entry,
            boolean removalIsAdvisory,
            Function<RouterSettings, RouterSettings> reload) {
        long sent = 0;
        for (int i = 0; i < 200; i++) {
            RouterFixture fixture = new RouterFixture();
            fixture.seed = i * 0x9E3779B97F4A7C15L;
            fixture.hasSharedSession = false;
            fixture.removalIsAdvisory = removalIsAdvisory;
            fixture.start().listReplicaSet();
            fixture.updateEndpoints(EndpointUpdateType.DELTA, entry);
            fixture.router.onSettings(fixture.now, reload.apply(fixture.settings()));
            fixture.sendRequest(1, RouterFixture.EVENTUAL_READ);
            sent += fixture.sentAttempts.stream()
                    .filter(attempt -> attempt.host().equals(host))
                    .count();
        }
        return sent;
    }

    /**
     * Guards against overload of a host that started 15 s ago: its slow start is over by the former settings, and not
     * by the new ones.
     */
    @Test
    void hostThatIsInSlowStartOnlyByTheNewSettingsReceivesFewerReads() {
        EndpointEntry startedEntry = started("r1", 1_000_000_000L - 15_000 * MS);
        long afterSlowStart = readsSentTo("r1", startedEntry, false, Function.identity());
        long duringSlowStart = readsSentTo(
                "r1",
                startedEntry,
                false,
                settings -> withProtection(
                        settings, new ProtectionSettings(250 * MS, 0.1, 60_000 * MS, 3, 2_000 * MS, false)));
        assertTrue(afterSlowStart > 50, afterSlowStart + " of 200 reads sent after the slow start");
        // Beside two replicas at full capacity, one at a capacity share of 0.1 + 0.9 / 4 receives 0.325 of 2.325 reads.
        assertTrue(
                duringSlowStart < afterSlowStart * 2 / 3,
                duringSlowStart + " of 200 reads sent in slow start, " + afterSlowStart + " after it");
    }

    /** Guards against a removed host that stays in use after a reload that makes removal binding. */
    @Test
    void removedHostIsNoLongerUsedOnceRemovalIsBinding() {
        EndpointEntry removedEntry = new EndpointEntry("r1", false, "z", 0, EndpointState.REMOVED, 1, 0);
        assertTrue(readsSentTo("r1", removedEntry, true, Function.identity()) > 50);
        assertEquals(
                0,
                readsSentTo(
                        "r1",
                        removedEntry,
                        true,
                        settings -> withProtection(
                                settings, new ProtectionSettings(250 * MS, 0.2, 10_000 * MS, 3, 2_000 * MS, false))));
    }

    /**
     * Guards against an assumed latency that is derived from the former latency objective of a class: a request is then
     * hedged too late.
     */
    @Test
    void assumedLatencyOfAnUnusedClassFollowsItsNewLatencyObjective() {
        long[] hedgedAfter = new long[2];
        for (int i = 0; i < 2; i++) {
            RouterFixture fixture = new RouterFixture();
            fixture.hasSharedSession = false;
            fixture.start().listReplicaSet();
            if (i == 1) {
                RouterSettings settings = fixture.settings();
                fixture.router =
                        new ReadWriteSplitter(fixture.now, 7, withTwentyfoldLatencyObjectives(settings), fixture);
                fixture.listReplicaSet();
                fixture.router.onSettings(fixture.now, settings);
            }
            long startedAt = fixture.now;
            fixture.sendRequest(1, RouterFixture.EVENTUAL_READ);
            while (fixture.attemptsOf(1).size() < 2 && fixture.now < startedAt + 900 * MS) {
                fixture.advance(20 * MS);
            }
            hedgedAfter[i] = fixture.now - startedAt;
        }
        assertEquals(hedgedAfter[0], hedgedAfter[1], "time of the hedged request");
        assertTrue(hedgedAfter[0] < 900 * MS, "hedged after " + hedgedAfter[0] + " us");
    }

    private static RouterSettings withTwentyfoldLatencyObjectives(RouterSettings base) {
        List<RequestClass> classes = base.classes().stream()
                .map(requestClass -> new RequestClass(
                        requestClass.name(),
                        requestClass.consistency(),
                        requestClass.idempotency(),
                        requestClass.deduplicationScope(),
                        requestClass.maxStalenessMicros(),
                        20 * requestClass.latencyObjectiveMicros(),
                        20 * requestClass.deadlineMicros(),
                        requestClass.deduplicationWindowMicros(),
                        requestClass.priorityWeight(),
                        requestClass.lateWeight()))
                .toList();
        return with(base, 1, classes, base.tenants(), base.protection());
    }

    /** Guards against a share of the concurrency limits that is still divided by the former fleet size. */
    @Test
    void concurrencyLimitsFollowTheFleetSizeOfTheNewSettings() {
        long[] sent = new long[2];
        for (int i = 0; i < 2; i++) {
            RouterFixture fixture = new RouterFixture();
            fixture.hasSharedSession = false;
            fixture.fleetSize = i == 0 ? 16 : 1;
            fixture.start().updateEndpoints(EndpointUpdateType.SNAPSHOT, RouterFixture.servingEntry("p"));
            fixture.answerHealthCheck("p", fixture.now, ReplicationRole.PRIMARY);
            fixture.fleetSize = 16;
            fixture.router.onSettings(fixture.now, fixture.settings());
            for (int id = 0; id < 60; id++) {
                fixture.sendRequest(id, RouterFixture.NON_IDEMPOTENT_WRITE);
            }
            sent[i] = fixture.sentAttempts.size();
        }
        assertEquals(sent[0], sent[1], "writes in flight at one of 16 routers");
        assertTrue(sent[0] < 16, sent[0] + " writes in flight at one of 16 routers");
    }

    /** Guards against one tenant's requests over its quota that reduce the capacity for those of another tenant. */
    @Test
    void tenantOverItsQuotaDoesNotReduceTheCapacityOfAnotherTenant() {
        long[] sent = new long[2];
        for (int i = 0; i < 2; i++) {
            RouterFixture fixture = new RouterFixture();
            fixture.hasSharedSession = false;
            fixture.start();
            RouterSettings base = fixture.settings();
            RouterSettings settings = with(
                    base,
                    1,
                    base.classes(),
                    List.of(new Tenant("small", 1), new Tenant("large", 1_000)),
                    base.protection());
            fixture.router = new ReadWriteSplitter(fixture.now, 7, settings, fixture);
            fixture.listReplicaSet();
            // In the second run the small tenant uses up its quota before the large one sends its first request.
            for (int id = 0; id < 40 && i == 1; id++) {
                fixture.router.onRequest(fixture.now, read(id, 0));
                fixture.router.onClientDisconnected(fixture.now, id);
                fixture.attemptsOf(id).forEach(attempt -> fixture.endAttempt(attempt, 0, AttemptOutcome.SUCCESS));
            }
            fixture.sentAttempts.clear();
            for (int id = 100; id < 300; id++) {
                fixture.router.onRequest(fixture.now, read(id, 1));
            }
            sent[i] = fixture.sentAttempts.size();
        }
        assertTrue(sent[0] > 20, sent[0] + " of 200 reads sent");
        assertTrue(
                Math.abs(sent[0] - sent[1]) <= sent[0] / 10,
                "reads of the large tenant: " + sent[0] + " sent alone, " + sent[1]
                        + " beside a tenant over its quota");
    }

    private static RoutingRequest read(long id, int tenant) {
        return new RoutingRequest(
                id, RouterFixture.EVENTUAL_READ, 0, "s" + id, tenant, false, 2_500 * MS, Positions.UNKNOWN);
    }

    /**
     * Guards against requests that a shutdown leaves without an answer, answers twice, or rejects although a repeat
     * could take effect twice.
     */
    @Test
    void shutdownGivesEachOpenRequestOneAnswer() {
        RouterFixture fixture = new RouterFixture();
        fixture.hasSharedSession = false;
        fixture.start().listReplicaSet();
        fixture.sendRequest(1, RouterFixture.EVENTUAL_READ);
        fixture.sendRequest(2, RouterFixture.NON_IDEMPOTENT_WRITE);
        fixture.updateState("p", EndpointState.DRAINING);
        fixture.sendRequest(3, RouterFixture.NON_IDEMPOTENT_WRITE);
        assertEquals(
                List.of(1, 1, 0),
                List.of(
                        fixture.attemptsOf(1).size(),
                        fixture.attemptsOf(2).size(),
                        fixture.attemptsOf(3).size()));
        fixture.router.onShutdown(fixture.now);
        fixture.router.onShutdown(fixture.now);
        assertEquals(List.of(1L, 3L), fixture.rejected);
        assertEquals(List.of(2L), fixture.failed, "a write that may have run fails");
        int sentBefore = fixture.sentAttempts.size();
        fixture.endAttempt(fixture.attemptsOf(1).get(0), 0, AttemptOutcome.CONNECTION_RESET);
        fixture.endAttempt(fixture.attemptsOf(2).get(0), 0, AttemptOutcome.UNREACHABLE);
        fixture.updateState("p", EndpointState.SERVING);
        fixture.advance(500 * MS);
        assertEquals(
                sentBefore, fixture.sentAttempts.size(), "nothing is sent for requests that have their final answer");
        assertEquals(3, fixture.rejected.size() + fixture.failed.size());
    }

    /** Guards against stale reads of sessions that wrote before the settings said that writes are remembered. */
    @Test
    void writeAnsweredBeforeTheReloadIsSeenByReadsOfItsSession() {
        RouterFixture fixture = new RouterFixture().start().listReplicaSet();
        fixture.sendRequest(1, RouterFixture.NON_IDEMPOTENT_WRITE);
        fixture.now += 100 * MS;
        fixture.endAttempt(fixture.lastAttempt(), 0, AttemptOutcome.SUCCESS, ReplicationRole.PRIMARY, fixture.now);
        fixture.router.onSettings(fixture.now, withRememberedSessions(fixture.settings()));
        fixture.sendRequest(2, RouterFixture.SESSION_READ);
        fixture.answerHealthChecks(50 * MS);
        assertEquals("p", fixture.lastAttempt().host());
        fixture.answerHealthCheck("r3", fixture.now, ReplicationRole.REPLICA);
        fixture.sendRequest(3, RouterFixture.SESSION_READ);
        assertEquals("r3", fixture.lastAttempt().host());
    }
}
