package mintstair.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import mintstair.decision.SplitterApi.Ending;
import mintstair.decision.SplitterApi.Guards;
import mintstair.decision.SplitterApi.HostEntry;
import mintstair.decision.SplitterApi.HostState;
import mintstair.decision.SplitterApi.ListKind;
import mintstair.decision.SplitterApi.Request;
import mintstair.decision.SplitterApi.RequestClass;
import mintstair.decision.SplitterApi.Role;
import mintstair.decision.SplitterApi.Settings;
import mintstair.decision.SplitterApi.Tenant;
import org.junit.jupiter.api.Test;

/** Nothing of one customer's settings shows up for another's: neither of two side by side, nor of those before a change. */
class OtherSettingsTest {
    private static final long MS = Bed.MS;

    private static Settings with(
            Settings s, int routers, List<RequestClass> classes, List<Tenant> tenants, Guards guards) {
        return new Settings(
                routers,
                s.me(),
                s.zone(),
                classes,
                tenants,
                s.overShareWorth(),
                s.rememberedTokens(),
                s.readCheck(),
                s.positionsInAnswers(),
                s.listTellsRole(),
                s.subscribe(),
                s.clientsMarkRepeats(),
                s.probePrice(),
                s.crossZonePrice(),
                guards,
                s.limits());
    }

    private static Settings guarded(Settings s, Guards guards) {
        return with(s, s.routers(), s.classes(), s.tenants(), guards);
    }

    private static HostEntry started(String host, long at) {
        return new HostEntry(host, false, "z", 0, HostState.READY, 1, at);
    }

    /** So many of 200 fresh routers that go over to these settings send their read to r1. */
    private static long readsAt(
            String host, HostEntry listed, boolean advice, java.util.function.Function<Settings, Settings> change) {
        long sent = 0;
        for (int i = 0; i < 200; i++) {
            Bed bed = new Bed();
            bed.seed = i * 0x9E3779B97F4A7C15L;
            bed.oneSession = false;
            bed.goneIsAdvice = advice;
            bed.start().group();
            bed.list(ListKind.CHANGES, listed);
            bed.router.onSettings(bed.now, change.apply(bed.settings()));
            bed.request(1, Bed.ANY);
            sent += bed.sends.stream().filter(s -> s.host().equals(host)).count();
        }
        return sent;
    }

    /** A host that started 15 s ago was warm by the settings before; by those now it is cold, and must not be pushed over. */
    @Test
    void hostThatIsColdByTheNewSettingsIsRampedByThem() {
        HostEntry listed = started("r1", 1_000_000_000L - 15_000 * MS);
        long warm = readsAt("r1", listed, false, s -> s);
        long cold = readsAt(
                "r1", listed, false, s -> guarded(s, new Guards(250 * MS, 0.1, 60_000 * MS, 3, 2_000 * MS, false)));
        assertTrue(warm > 50, warm + " of 200 while it is warm");
        // Of three equal replicas one with a warmth of 0.1 + 0.9 / 4 has its part of 2.3.
        assertTrue(cold < warm * 2 / 3, cold + " of 200 once it is cold, " + warm + " before");
    }

    /** Where gone is advice no more, what was kept in use against the list is not. */
    @Test
    void hostKeptByAdviceIsLeftWhereGoneBinds() {
        HostEntry gone = new HostEntry("r1", false, "z", 0, HostState.GONE, 1, 0);
        assertTrue(readsAt("r1", gone, true, s -> s) > 50);
        assertEquals(
                0,
                readsAt(
                        "r1",
                        gone,
                        true,
                        s -> guarded(s, new Guards(250 * MS, 0.2, 10_000 * MS, 3, 2_000 * MS, false))));
    }

    /** What is assumed of a class until its answers have shown it goes by its own aim, not by that of a class of that name before. */
    @Test
    void classThatWasNeverAskedForIsTakenByItsNewAim() {
        long[] secondCopy = new long[2];
        for (int i = 0; i < 2; i++) {
            Bed bed = new Bed();
            bed.oneSession = false;
            bed.start().group();
            if (i == 1) {
                Settings old = bed.settings();
                bed.router = new ReadWriteSplitter(
                        bed.now,
                        7,
                        with(
                                old,
                                1,
                                old.classes().stream()
                                        .map(c -> new RequestClass(
                                                c.name(),
                                                c.freshness(),
                                                c.repeat(),
                                                c.scope(),
                                                c.bound(),
                                                20 * c.aim(),
                                                20 * c.deadline(),
                                                c.window(),
                                                c.worth(),
                                                c.lateWorth()))
                                        .toList(),
                                old.tenants(),
                                old.guards()),
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
            bed.start().list(ListKind.WHOLE, Bed.ready("p"));
            bed.poll("p", bed.now, Role.PRIMARY);
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

    /** What one tenant sends over its share, and what quota it has, is its own: the other's reads find the same room beside it. */
    @Test
    void oneTenantsQuotaIsNotTheOthers() {
        long[] sent = new long[2];
        for (int i = 0; i < 2; i++) {
            Bed bed = new Bed();
            bed.oneSession = false;
            bed.start();
            Settings old = bed.settings();
            Settings both = with(
                    old, 1, old.classes(), List.of(new Tenant("small", 1), new Tenant("large", 1_000)), old.guards());
            bed.router = new ReadWriteSplitter(bed.now, 7, both, bed);
            bed.group();
            // One uses up its share long before; the other has sent nothing yet.
            for (int id = 0; id < 40 && i == 1; id++) {
                bed.router.onRequest(bed.now, read(id, 0));
                bed.router.onHangUp(bed.now, id);
                bed.sendsOf(id).forEach(s -> bed.outcome(s, 0, Ending.OK));
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

    private static Request read(long id, int tenant) {
        return new Request(id, Bed.ANY, 0, "s" + id, tenant, false, 2_500 * MS, SplitterApi.UNKNOWN);
    }

    /** The end of a router: each request that it holds, in whatever state, gets one final answer, refused only where that is harmless. */
    @Test
    void endGivesEachHeldRequestItsOneAnswer() {
        Bed bed = new Bed();
        bed.oneSession = false;
        bed.start().group();
        bed.request(1, Bed.ANY);
        bed.request(2, Bed.UNSAFE_WRITE);
        bed.state("p", HostState.DRAINING);
        bed.request(3, Bed.UNSAFE_WRITE);
        assertEquals(
                List.of(1, 1, 0),
                List.of(
                        bed.sendsOf(1).size(),
                        bed.sendsOf(2).size(),
                        bed.sendsOf(3).size()));
        bed.router.onEnd(bed.now);
        bed.router.onEnd(bed.now);
        assertEquals(List.of(1L, 3L), bed.refused);
        assertEquals(List.of(2L), bed.failed, "it may have run");
        int sends = bed.sends.size();
        bed.outcome(bed.sendsOf(1).get(0), 0, Ending.RESET);
        bed.outcome(bed.sendsOf(2).get(0), 0, Ending.NO_ROUTE);
        bed.state("p", HostState.READY);
        bed.pass(500 * MS);
        assertEquals(sends, bed.sends.size(), "nothing is sent for what was answered");
        assertEquals(3, bed.refused.size() + bed.failed.size());
    }
}
