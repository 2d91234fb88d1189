package mintstair.decision;

import static mintstair.decision.SimulatedDeployment.MS;
import static mintstair.decision.SimulatedDeployment.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/**
 * What hosts in slow start are sent by all routers together, which share nothing, in virtual time: within any span of
 * the settings' length no more than the budget, and what is left for chance. The routers are few or many and of uneven
 * traffic; the clients ask for four fifths of what all hosts can do, or suddenly for twice as much as they can.
 *
 * <p>Most ways begin with a calm time, in which routers learn what hosts do. Routers that are started under an overload
 * have no such time.
 */
class SlowStartBudgetTest {
    private static final int[] ROUTERS = {2, 8, 30, 120};
    private static final double[] LOADS = {0.8, 2};
    private static final int SEEDS = Integer.getInteger("slowstart.seeds", 2);
    private static final double CALM_LOAD = 0.8;
    /** Routers learn for so long what hosts do, before the fault begins. */
    private static final long CALM = 12 * SECOND;

    private static final double[] UNLEARNED_LOADS = {0.8, 2, 4};
    /** Routers that start under load have so long before the fault, and clients ask for twice as much from then on. */
    private static final long UNLEARNED = 2 * SECOND;

    private static final long CROWD = 2 * SECOND;

    private static void start(SimulatedDeployment play, String name) {
        play.host(name).restart();
        play.tell(EndpointUpdateType.DELTA, List.of(name), EndpointState.SERVING);
    }

    private static void fail(SimulatedDeployment play, String... names) {
        for (String name : names) {
            play.host(name).fail();
        }
    }

    private static void promote(SimulatedDeployment play, String name) {
        play.run(700 * MS);
        play.hosts.values().forEach(host -> host.primary = false);
        play.host(name).primary = true;
    }

    /** One play, or what came of it. */
    private record Play(double load, int routers, long seed, double excess, double served) {
        Play(double load, int routers, long seed) {
            this(load, routers, seed, 0, 0);
        }

        Play play(Beginning beginning, Consumer<SimulatedDeployment> fault) {
            SimulatedDeployment deployment = new SimulatedDeployment(routers, seed * 31 + routers);
            if (beginning == Beginning.CALM) {
                deployment.load(CALM_LOAD);
                deployment.run(CALM);
                deployment.load(load);
            } else {
                deployment.load(load);
                deployment.crowd(UNLEARNED, CROWD, 2);
                deployment.run(UNLEARNED);
            }
            long servedBefore = deployment.servedRequests;
            long askedBefore = deployment.askedRequests;
            fault.accept(deployment);
            double served =
                    (double) (deployment.servedRequests - servedBefore) / (deployment.askedRequests - askedBefore);
            return new Play(load, routers, seed, deployment.worstExcess(), served);
        }

        @Override
        public String toString() {
            return String.format(
                    Locale.ROOT,
                    "%d routers, load %.1f, seed %d: %.1f times the chance over, served %.3f",
                    routers,
                    load,
                    seed,
                    excess,
                    served);
        }
    }

    /** How a play begins: with a time to learn in, or with routers that start into the load, which doubles soon. */
    private enum Beginning {
        CALM,
        UNDER_LOAD
    }

    private static void holds(Consumer<SimulatedDeployment> fault) {
        holds(Beginning.CALM, LOADS, fault);
    }

    private static void holdsWithoutCalm(Consumer<SimulatedDeployment> fault) {
        holds(Beginning.UNDER_LOAD, UNLEARNED_LOADS, fault);
    }

    private static void holds(Beginning beginning, double[] loads, Consumer<SimulatedDeployment> fault) {
        List<Play> plays = new ArrayList<>();
        for (double load : loads) {
            for (int routers : ROUTERS) {
                for (long seed = 0; seed < SEEDS; seed++) {
                    plays.add(new Play(load, routers, seed));
                }
            }
        }
        List<Play> played =
                plays.parallelStream().map(play -> play.play(beginning, fault)).toList();
        if (Boolean.getBoolean("slowstart.print")) {
            played.forEach(System.out::println);
        }
        assertEquals(List.of(), played.stream().filter(play -> play.excess > 1).toList());
    }

    @Test
    void replicaThatStartsInCalm() {
        holds(play -> {
            start(play, "r1");
            play.run(12 * SECOND);
        });
    }

    @Test
    void replicaThatStartsAndIsPromoted() {
        holds(play -> {
            start(play, "r1");
            play.run(SECOND);
            fail(play, "p");
            promote(play, "r1");
            play.run(10 * SECOND);
        });
    }

    @Test
    void replicaWhoseSetBecomesUnreachable() {
        holds(SlowStartBudgetTest::loseSet);
    }

    @Test
    void replicaWhoseSetIsRemovedFromTheList() {
        holds(SlowStartBudgetTest::removeSet);
    }

    @Test
    void replicaWhosePeersDrainAndWhosePrimaryIsLost() {
        holds(play -> {
            start(play, "r1");
            play.run(SECOND);
            play.tell(EndpointUpdateType.DELTA, List.of("r2", "r3"), EndpointState.DRAINING);
            play.run(SECOND);
            fail(play, "p");
            promote(play, "r1");
            play.run(8 * SECOND);
        });
    }

    @Test
    void primaryThatStartsBeforeAllRoutersDo() {
        holds(SlowStartBudgetTest::restartPrimaryAndRouters);
    }

    @Test
    void setThatReturnsAtOnce() {
        holds(play -> {
            fail(play, "p", "r1", "r2", "r3");
            play.run(3 * SECOND);
            play.hosts.values().forEach(SimulatedDeployment.Host::restart);
            play.run(300 * MS);
            play.tell(EndpointUpdateType.DELTA, List.copyOf(play.hosts.keySet()), EndpointState.SERVING);
            play.run(10 * SECOND);
        });
    }

    @Test
    void setThatReturnsWithAllRouters() {
        holds(play -> {
            fail(play, "p", "r1", "r2", "r3");
            play.run(3 * SECOND);
            play.hosts.values().forEach(SimulatedDeployment.Host::restart);
            play.restartRouters();
            play.run(10 * SECOND);
        });
    }

    @Test
    void setThatReturnsUnannounced() {
        holds(play -> {
            fail(play, "p", "r1", "r2", "r3");
            play.run(3 * SECOND);
            play.hosts.values().forEach(SimulatedDeployment.Host::restart);
            play.run(10 * SECOND);
        });
    }

    @Test
    void replicaWhosePeersReject() {
        holds(play -> {
            start(play, "r1");
            play.run(SECOND);
            List.of("r2", "r3").forEach(name -> play.host(name).mode = SimulatedDeployment.Mode.REJECTING);
            play.run(10 * SECOND);
        });
    }

    @Test
    void replicaWhoseSetHangs() {
        holds(play -> {
            start(play, "r1");
            play.run(SECOND);
            List.of("p", "r2", "r3").forEach(name -> play.host(name).mode = SimulatedDeployment.Mode.HANGING);
            play.run(10 * SECOND);
        });
    }

    @Test
    void primaryThatStartsWhileReplicasLag() {
        holds(play -> {
            start(play, "p");
            play.run(SECOND);
            List.of("r1", "r2", "r3").forEach(name -> play.host(name).lag = 5 * SECOND);
            play.run(10 * SECOND);
        });
    }

    @Test
    void replicaWhoseSetIsLostAfterOtherSettings() {
        holds(play -> {
            start(play, "r1");
            play.run(3 * SECOND);
            play.reload(new ProtectionSettings(250 * MS, 0.1, 15 * SECOND, 3, 1_500 * MS, false));
            fail(play, "p", "r2", "r3");
            promote(play, "r1");
            play.run(10 * SECOND);
        });
    }

    /** A handful of large requests is all that the host can take in the span. */
    @Test
    void replicaWhosePeersAreRemovedUnderReadsOfUnevenWork() {
        holds(play -> {
            play.hasLargeReads = true;
            play.run(5 * SECOND);
            start(play, "r1");
            play.run(SECOND);
            fail(play, "p", "r2", "r3");
            play.tell(EndpointUpdateType.DELTA, List.of("p", "r2", "r3"), EndpointState.REMOVED);
            promote(play, "r1");
            play.run(10 * SECOND);
        });
    }

    private static void loseSet(SimulatedDeployment play) {
        start(play, "r1");
        play.run(SECOND);
        fail(play, "p", "r2", "r3");
        promote(play, "r1");
        play.run(10 * SECOND);
    }

    private static void removeSet(SimulatedDeployment play) {
        start(play, "r1");
        play.run(SECOND);
        fail(play, "p", "r2", "r3");
        play.run(300 * MS);
        play.tell(EndpointUpdateType.DELTA, List.of("p", "r2", "r3"), EndpointState.REMOVED);
        promote(play, "r1");
        play.run(10 * SECOND);
    }

    private static void restartPrimaryAndRouters(SimulatedDeployment play) {
        start(play, "p");
        play.run(SECOND);
        play.restartRouters();
        play.run(10 * SECOND);
    }

    @Test
    void replicaThatStartsBeforeRoutersHaveLearned() {
        holdsWithoutCalm(play -> {
            start(play, "r1");
            play.run(12 * SECOND);
        });
    }

    @Test
    void replicaWhoseSetIsUnreachableBeforeRoutersHaveLearned() {
        holdsWithoutCalm(SlowStartBudgetTest::loseSet);
    }

    @Test
    void replicaWhoseSetIsRemovedBeforeRoutersHaveLearned() {
        holdsWithoutCalm(SlowStartBudgetTest::removeSet);
    }

    @Test
    void primaryThatStartsBeforeRoutersHaveLearned() {
        holdsWithoutCalm(SlowStartBudgetTest::restartPrimaryAndRouters);
    }

    @Test
    void setThatReturnsBeforeRoutersHaveLearned() {
        holdsWithoutCalm(play -> {
            fail(play, "p", "r1", "r2", "r3");
            play.run(SECOND);
            play.hosts.values().forEach(SimulatedDeployment.Host::restart);
            play.restartRouters();
            play.run(10 * SECOND);
        });
    }
}
