package mintstair.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import mintstair.request.ReplicationRole;
import org.junit.jupiter.api.Test;

/**
 * Nothing of one customer's settings shows up for another's: neither of two side by side, nor of those before a
 * change.
 */
class OtherSettingsTest {
    private static final long MS = RouterFixture.MS;

    private static RouterSettings with(
            RouterSettings s,
            int routers,
            List<RequestClass> classes,
            List<Tenant> tenants,
            ProtectionSettings protection) {
        return new RouterSettings(
                routers,
                s.instanceIndex(),
                s.zone(),
                classes,
                tenants,
                s.overQuotaWeight(),
                s.remembersSessionTokens(),
                s.replicaReadCheck(),
                s.positionsInResponses(),
                s.listReportsRole(),
                s.subscribesToEndpoints(),
                s.clientsMarkRetries(),
                s.healthCheckCost(),
                s.crossZoneCost(),
                protection,
                s.limits());
    }

    private static RouterSettings guarded(RouterSettings s, ProtectionSettings protection) {
        return with(s, s.fleetSize(), s.classes(), s.tenants(), protection);
    }

    private static EndpointEntry started(String host, long at) {
        return new EndpointEntry(host, false, "z", 0, EndpointState.SERVING, 1, at);
    }

    /** So many of 200 fresh routers that go over to these settings send their read to r1. */
    private static long readsAt(
            String host,
            EndpointEntry listed,
            boolean advice,
            java.util.function.Function<RouterSettings, RouterSettings> change) {
        long sent = 0;
        for (int i = 0; i < 200; i++) {
            RouterFixture fixture = new RouterFixture();
            fixture.seed = i * 0x9E3779B97F4A7C15L;
            fixture.hasSharedSession = false;
            fixture.removalIsAdvisory = advice;
            fixture.start().listReplicaSet();
            fixture.updateEndpoints(EndpointUpdateType.DELTA, listed);
            fixture.router.onSettings(fixture.now, change.apply(fixture.settings()));
            fixture.sendRequest(1, RouterFixture.EVENTUAL_READ);
            sent += fixture.sentAttempts.stream()
                    .filter(s -> s.host().equals(host))
                    .count();
        }
        return sent;
    }

    /**
     * A host that started 15 s ago was warm by the settings before; by those now it is cold, and must not be pushed
     * over.
     */
    @Test
    void hostThatIsColdByTheNewSettingsIsRampedByThem() {
        EndpointEntry listed = started("r1", 1_000_000_000L - 15_000 * MS);
        long warm = readsAt("r1", listed, false, s -> s);
        long cold = readsAt(
                "r1",
                listed,
                false,
                s -> guarded(s, new ProtectionSettings(250 * MS, 0.1, 60_000 * MS, 3, 2_000 * MS, false)));
        assertTrue(warm > 50, warm + " of 200 while it is warm");
        // Of three equal replicas one with a warmth of 0.1 + 0.9 / 4 has its part of 2.3.
        assertTrue(cold < warm * 2 / 3, cold + " of 200 once it is cold, " + warm + " before");
    }

    /** Where gone is advice no more, what was kept in use against the list is not. */
    @Test
    void hostKeptByAdviceIsLeftWhereGoneBinds() {
        EndpointEntry gone = new EndpointEntry("r1", false, "z", 0, EndpointState.REMOVED, 1, 0);
        assertTrue(readsAt("r1", gone, true, s -> s) > 50);
        assertEquals(
                0,
                readsAt(
                        "r1",
                        gone,
                        true,
                        s -> guarded(s, new ProtectionSettings(250 * MS, 0.2, 10_000 * MS, 3, 2_000 * MS, false))));
    }

    /**
     * What is assumed of a class until its answers have shown it goes by its own aim, not by that of a class of that
     * name before.
     */
    @Test
    void classThatWasNeverAskedForIsTakenByItsNewAim() {
        long[] secondCopy = new long[2];
        for (int i = 0; i < 2; i++) {
            RouterFixture fixture = new RouterFixture();
            fixture.hasSharedSession = false;
            fixture.start().listReplicaSet();
            if (i == 1) {
                RouterSettings old = fixture.settings();
                fixture.router = new ReadWriteSplitter(
                        fixture.now,
                        7,
                        with(
                                old,
                                1,
                                old.classes().stream()
                                        .map(c -> new RequestClass(
                                                c.name(),
                                                c.consistency(),
                                                c.idempotency(),
                                                c.deduplicationScope(),
                                                c.maxStalenessMicros(),
                                                20 * c.latencyObjectiveMicros(),
                                                20 * c.deadlineMicros(),
                                                c.deduplicationWindowMicros(),
                                                c.priorityWeight(),
                                                c.lateWeight()))
                                        .toList(),
                                old.tenants(),
                                old.protection()),
                        fixture);
                fixture.listReplicaSet();
                fixture.router.onSettings(fixture.now, old);
            }
            long began = fixture.now;
            fixture.sendRequest(1, RouterFixture.EVENTUAL_READ);
            while (fixture.attemptsOf(1).size() < 2 && fixture.now < began + 900 * MS) {
                fixture.advance(20 * MS);
            }
            secondCopy[i] = fixture.now - began;
        }
        assertEquals(secondCopy[0], secondCopy[1], "when a request is tried elsewhere");
        assertTrue(secondCopy[0] < 900 * MS, secondCopy[0] + "");
    }

    /** A share of what all routers may have in flight is that of the fleet told now. */
    @Test
    void limitsFollowTheFleetOfTheNewSettings() {
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
        assertEquals(sent[0], sent[1], "writes in flight at one of 16");
        assertTrue(sent[0] < 16, sent[0] + "");
    }

    /**
     * What one tenant sends over its share, and what quota it has, is its own: the other's reads find the same room
     * beside it.
     */
    @Test
    void oneTenantsQuotaIsNotTheOthers() {
        long[] sent = new long[2];
        for (int i = 0; i < 2; i++) {
            RouterFixture fixture = new RouterFixture();
            fixture.hasSharedSession = false;
            fixture.start();
            RouterSettings old = fixture.settings();
            RouterSettings both = with(
                    old,
                    1,
                    old.classes(),
                    List.of(new Tenant("small", 1), new Tenant("large", 1_000)),
                    old.protection());
            fixture.router = new ReadWriteSplitter(fixture.now, 7, both, fixture);
            fixture.listReplicaSet();
            // One uses up its share long before; the other has sent nothing yet.
            for (int id = 0; id < 40 && i == 1; id++) {
                fixture.router.onRequest(fixture.now, read(id, 0));
                fixture.router.onClientDisconnected(fixture.now, id);
                fixture.attemptsOf(id).forEach(s -> fixture.endAttempt(s, 0, AttemptOutcome.SUCCESS));
            }
            fixture.sentAttempts.clear();
            for (int id = 100; id < 300; id++) {
                fixture.router.onRequest(fixture.now, read(id, 1));
            }
            sent[i] = fixture.sentAttempts.size();
        }
        assertTrue(sent[0] > 20, sent[0] + "");
        assertTrue(
                Math.abs(sent[0] - sent[1]) <= sent[0] / 10,
                "the second tenant's " + sent[1] + " beside a loud first, " + sent[0] + " alone");
    }

    private static RoutingRequest read(long id, int tenant) {
        return new RoutingRequest(
                id, RouterFixture.EVENTUAL_READ, 0, "s" + id, tenant, false, 2_500 * MS, Positions.UNKNOWN);
    }

    /**
     * The end of a router: each request that it holds, in whatever state, gets one final answer, refused only where
     * that is harmless.
     */
    @Test
    void endGivesEachHeldRequestItsOneAnswer() {
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
        assertEquals(List.of(2L), fixture.failed, "it may have run");
        int sends = fixture.sentAttempts.size();
        fixture.endAttempt(fixture.attemptsOf(1).get(0), 0, AttemptOutcome.CONNECTION_RESET);
        fixture.endAttempt(fixture.attemptsOf(2).get(0), 0, AttemptOutcome.UNREACHABLE);
        fixture.updateState("p", EndpointState.SERVING);
        fixture.advance(500 * MS);
        assertEquals(sends, fixture.sentAttempts.size(), "nothing is sent for what was answered");
        assertEquals(3, fixture.rejected.size() + fixture.failed.size());
    }
}
