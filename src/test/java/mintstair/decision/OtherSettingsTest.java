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
    private static final long MS = Bed.MS;

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
            Bed bed = new Bed();
            bed.seed = i * 0x9E3779B97F4A7C15L;
            bed.oneSession = false;
            bed.goneIsAdvice = advice;
            bed.start().group();
            bed.list(EndpointUpdateType.DELTA, listed);
            bed.router.onSettings(bed.now, change.apply(bed.settings()));
            bed.request(1, Bed.ANY);
            sent += bed.sends.stream().filter(s -> s.host().equals(host)).count();
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
            Bed bed = new Bed();
            bed.oneSession = false;
            bed.start().group();
            if (i == 1) {
                RouterSettings old = bed.settings();
                bed.router = new ReadWriteSplitter(
                        bed.now,
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
                        bed);
                bed.group();
                bed.router.onSettings(bed.now, old);
            }
            long began = bed.now;
            bed.request(1, Bed.ANY);
            while (bed.sendsOf(1).size() < 2 && bed.now < began + 900 * MS) {
                bed.pass(20 * MS);
            }
            secondCopy[i] = bed.now - began;
        }
        assertEquals(secondCopy[0], secondCopy[1], "when a request is tried elsewhere");
        assertTrue(secondCopy[0] < 900 * MS, secondCopy[0] + "");
    }

    /** A share of what all routers may have in flight is that of the fleet told now. */
    @Test
    void limitsFollowTheFleetOfTheNewSettings() {
        long[] sent = new long[2];
        for (int i = 0; i < 2; i++) {
            Bed bed = new Bed();
            bed.oneSession = false;
            bed.routers = i == 0 ? 16 : 1;
            bed.start().list(EndpointUpdateType.SNAPSHOT, Bed.ready("p"));
            bed.poll("p", bed.now, ReplicationRole.PRIMARY);
            bed.routers = 16;
            bed.router.onSettings(bed.now, bed.settings());
            for (int id = 0; id < 60; id++) {
                bed.request(id, Bed.UNSAFE_WRITE);
            }
            sent[i] = bed.sends.size();
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
            Bed bed = new Bed();
            bed.oneSession = false;
            bed.start();
            RouterSettings old = bed.settings();
            RouterSettings both = with(
                    old,
                    1,
                    old.classes(),
                    List.of(new Tenant("small", 1), new Tenant("large", 1_000)),
                    old.protection());
            bed.router = new ReadWriteSplitter(bed.now, 7, both, bed);
            bed.group();
            // One uses up its share long before; the other has sent nothing yet.
            for (int id = 0; id < 40 && i == 1; id++) {
                bed.router.onRequest(bed.now, read(id, 0));
                bed.router.onClientDisconnected(bed.now, id);
                bed.sendsOf(id).forEach(s -> bed.outcome(s, 0, AttemptOutcome.SUCCESS));
            }
            bed.sends.clear();
            for (int id = 100; id < 300; id++) {
                bed.router.onRequest(bed.now, read(id, 1));
            }
            sent[i] = bed.sends.size();
        }
        assertTrue(sent[0] > 20, sent[0] + "");
        assertTrue(
                Math.abs(sent[0] - sent[1]) <= sent[0] / 10,
                "the second tenant's " + sent[1] + " beside a loud first, " + sent[0] + " alone");
    }

    private static RoutingRequest read(long id, int tenant) {
        return new RoutingRequest(id, Bed.ANY, 0, "s" + id, tenant, false, 2_500 * MS, Positions.UNKNOWN);
    }

    /**
     * The end of a router: each request that it holds, in whatever state, gets one final answer, refused only where
     * that is harmless.
     */
    @Test
    void endGivesEachHeldRequestItsOneAnswer() {
        Bed bed = new Bed();
        bed.oneSession = false;
        bed.start().group();
        bed.request(1, Bed.ANY);
        bed.request(2, Bed.UNSAFE_WRITE);
        bed.state("p", EndpointState.DRAINING);
        bed.request(3, Bed.UNSAFE_WRITE);
        assertEquals(
                List.of(1, 1, 0),
                List.of(
                        bed.sendsOf(1).size(),
                        bed.sendsOf(2).size(),
                        bed.sendsOf(3).size()));
        bed.router.onShutdown(bed.now);
        bed.router.onShutdown(bed.now);
        assertEquals(List.of(1L, 3L), bed.refused);
        assertEquals(List.of(2L), bed.failed, "it may have run");
        int sends = bed.sends.size();
        bed.outcome(bed.sendsOf(1).get(0), 0, AttemptOutcome.CONNECTION_RESET);
        bed.outcome(bed.sendsOf(2).get(0), 0, AttemptOutcome.UNREACHABLE);
        bed.state("p", EndpointState.SERVING);
        bed.pass(500 * MS);
        assertEquals(sends, bed.sends.size(), "nothing is sent for what was answered");
        assertEquals(3, bed.refused.size() + bed.failed.size());
    }
}
