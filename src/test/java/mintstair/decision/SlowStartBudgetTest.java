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
 * Checks the work that all routers together send to hosts in slow start, in virtual time. The routers share no state,
 * yet within any overload span a host must not be sent more than its budget and a margin for random variation. The
 * number of routers varies and their traffic is uneven; the load is below the capacity of all hosts, or a multiple of
 * it.
 *
 * <p>Most scenarios begin with a time of moderate load in which the routers observe the throughput of the hosts.
 * Routers that start under overload have no such time.
 */
class SlowStartBudgetTest {
    private static final int[] ROUTERS = {2, 8, 30, 120};
    private static final int SEEDS = Integer.getInteger("slowstart.seeds", 2);

    /** Loads during the fault, as multiples of the capacity of all hosts. */
    private static final double[] LOADS = {0.8, 2};

    private static final double OBSERVATION_LOAD = 0.8;
    private static final long OBSERVATION_MICROS = 12 * SECOND;

    /** Loads of routers that start under load; they double when the fault begins. */
    private static final double[] STARTUP_LOADS = {0.8, 2, 4};

    private static final long STARTUP_MICROS = 2 * SECOND;
    private static final double SURGE_FACTOR = 2;
    private static final long SURGE_MICROS = 2 * SECOND;

    /** What precedes the fault. */
    private enum Beginning {
        OBSERVATION,
        STARTUP_UNDER_LOAD
    }

    /** One simulation of a fault, without the fault itself. */
    private record Scenario(double load, int routers, long seed) {
        Result run(Beginning beginning, Consumer<SimulatedDeployment> fault) {
            SimulatedDeployment deployment = new SimulatedDeployment(routers, seed * 31 + routers);
            if (beginning == Beginning.OBSERVATION) {
                deployment.setLoad(OBSERVATION_LOAD);
                deployment.run(OBSERVATION_MICROS);
                deployment.setLoad(load);
            } else {
                deployment.setLoad(load);
                deployment.scheduleSurge(STARTUP_MICROS, SURGE_MICROS, SURGE_FACTOR);
                deployment.run(STARTUP_MICROS);
            }
            long servedBefore = deployment.servedRequests;
            long sentBefore = deployment.sentRequests;
            fault.accept(deployment);
            double servedShare =
                    (double) (deployment.servedRequests - servedBefore) / (deployment.sentRequests - sentBefore);
            return new Result(this, deployment.worstExcess(), servedShare);
        }
    }

    /**
     * The result of one simulation.
     *
     * @param excess the largest excess over the budget, as a multiple of the tolerated one
     * @param servedShare the share of the requests that were served, from the fault on
     */
    private record Result(Scenario scenario, double excess, double servedShare) {
        @Override
        public String toString() {
            return String.format(
                    Locale.ROOT,
                    "%d routers, load %.1f, seed %d: excess is %.1f times the tolerated one, served %.3f",
                    scenario.routers,
                    scenario.load,
                    scenario.seed,
                    excess,
                    servedShare);
        }
    }

    private static void assertBudgetKept(Consumer<SimulatedDeployment> fault) {
        assertBudgetKept(Beginning.OBSERVATION, LOADS, fault);
    }

    private static void assertBudgetKeptAfterStartup(Consumer<SimulatedDeployment> fault) {
        assertBudgetKept(Beginning.STARTUP_UNDER_LOAD, STARTUP_LOADS, fault);
    }

    private static void assertBudgetKept(Beginning beginning, double[] loads, Consumer<SimulatedDeployment> fault) {
        List<Scenario> scenarios = new ArrayList<>();
        for (double load : loads) {
            for (int routers : ROUTERS) {
                for (long seed = 0; seed < SEEDS; seed++) {
                    scenarios.add(new Scenario(load, routers, seed));
                }
            }
        }
        List<Result> results = scenarios.parallelStream()
                .map(scenario -> scenario.run(beginning, fault))
                .toList();
        if (Boolean.getBoolean("slowstart.print")) {
            results.forEach(System.out::println);
        }
        assertEquals(
                List.of(), results.stream().filter(result -> result.excess > 1).toList());
    }

    private static void start(SimulatedDeployment deployment, String name) {
        deployment.host(name).restart();
        deployment.announce(EndpointUpdateType.DELTA, List.of(name), EndpointState.SERVING);
    }

    private static void fail(SimulatedDeployment deployment, String... names) {
        for (String name : names) {
            deployment.host(name).fail();
        }
    }

    /** Makes a host the only primary after the time that a failover takes. */
    private static void promote(SimulatedDeployment deployment, String name) {
        deployment.run(700 * MS);
        deployment.hosts.values().forEach(host -> host.primary = false);
        deployment.host(name).primary = true;
    }

    @Test
    void budgetIsKeptWhenReplicaStarts() {
        assertBudgetKept(deployment -> {
            start(deployment, "r1");
            deployment.run(12 * SECOND);
        });
    }

    @Test
    void budgetIsKeptWhenReplicaIsPromotedDuringSlowStart() {
        assertBudgetKept(deployment -> {
            start(deployment, "r1");
            deployment.run(SECOND);
            fail(deployment, "p");
            promote(deployment, "r1");
            deployment.run(10 * SECOND);
        });
    }

    @Test
    void budgetIsKeptWhenAllPeersBecomeUnreachable() {
        assertBudgetKept(SlowStartBudgetTest::startReplicaThenLosePeers);
    }

    @Test
    void budgetIsKeptWhenAllPeersAreRemoved() {
        assertBudgetKept(SlowStartBudgetTest::startReplicaThenRemovePeers);
    }

    @Test
    void budgetIsKeptWhenReplicasDrainAndPrimaryIsLost() {
        assertBudgetKept(deployment -> {
            start(deployment, "r1");
            deployment.run(SECOND);
            deployment.announce(EndpointUpdateType.DELTA, List.of("r2", "r3"), EndpointState.DRAINING);
            deployment.run(SECOND);
            fail(deployment, "p");
            promote(deployment, "r1");
            deployment.run(8 * SECOND);
        });
    }

    @Test
    void budgetIsKeptWhenRoutersRestartDuringSlowStartOfPrimary() {
        assertBudgetKept(SlowStartBudgetTest::restartPrimaryThenRouters);
    }

    @Test
    void budgetIsKeptWhenReplicaSetRestarts() {
        assertBudgetKept(deployment -> {
            fail(deployment, "p", "r1", "r2", "r3");
            deployment.run(3 * SECOND);
            deployment.hosts.values().forEach(SimulatedDeployment.Host::restart);
            deployment.run(300 * MS);
            List<String> names = List.copyOf(deployment.hosts.keySet());
            deployment.announce(EndpointUpdateType.DELTA, names, EndpointState.SERVING);
            deployment.run(10 * SECOND);
        });
    }

    @Test
    void budgetIsKeptWhenReplicaSetAndRoutersRestart() {
        assertBudgetKept(deployment -> {
            fail(deployment, "p", "r1", "r2", "r3");
            deployment.run(3 * SECOND);
            deployment.hosts.values().forEach(SimulatedDeployment.Host::restart);
            deployment.restartRouters();
            deployment.run(10 * SECOND);
        });
    }

    @Test
    void budgetIsKeptWhenReplicaSetRestartsWithoutEndpointUpdate() {
        assertBudgetKept(deployment -> {
            fail(deployment, "p", "r1", "r2", "r3");
            deployment.run(3 * SECOND);
            deployment.hosts.values().forEach(SimulatedDeployment.Host::restart);
            deployment.run(10 * SECOND);
        });
    }

    @Test
    void budgetIsKeptWhenOtherReplicasReject() {
        assertBudgetKept(deployment -> {
            start(deployment, "r1");
            deployment.run(SECOND);
            List.of("r2", "r3").forEach(name -> deployment.host(name).mode = SimulatedDeployment.Mode.REJECTING);
            deployment.run(10 * SECOND);
        });
    }

    @Test
    void budgetIsKeptWhenAllPeersHang() {
        assertBudgetKept(deployment -> {
            start(deployment, "r1");
            deployment.run(SECOND);
            List.of("p", "r2", "r3").forEach(name -> deployment.host(name).mode = SimulatedDeployment.Mode.HANGING);
            deployment.run(10 * SECOND);
        });
    }

    @Test
    void budgetIsKeptWhenReplicasLagDuringSlowStartOfPrimary() {
        assertBudgetKept(deployment -> {
            start(deployment, "p");
            deployment.run(SECOND);
            List.of("r1", "r2", "r3").forEach(name -> deployment.host(name).lag = 5 * SECOND);
            deployment.run(10 * SECOND);
        });
    }

    @Test
    void budgetIsKeptWhenPeersBecomeUnreachableAfterReload() {
        assertBudgetKept(deployment -> {
            start(deployment, "r1");
            deployment.run(3 * SECOND);
            deployment.reload(new ProtectionSettings(250 * MS, 0.1, 15 * SECOND, 3, 1_500 * MS, false));
            fail(deployment, "p", "r2", "r3");
            promote(deployment, "r1");
            deployment.run(10 * SECOND);
        });
    }

    /** With large reads the budget of a span is a handful of requests. */
    @Test
    void budgetIsKeptUnderReadsOfUnevenWorkWhenAllPeersAreRemoved() {
        assertBudgetKept(deployment -> {
            deployment.hasLargeReads = true;
            deployment.run(5 * SECOND);
            start(deployment, "r1");
            deployment.run(SECOND);
            fail(deployment, "p", "r2", "r3");
            deployment.announce(EndpointUpdateType.DELTA, List.of("p", "r2", "r3"), EndpointState.REMOVED);
            promote(deployment, "r1");
            deployment.run(10 * SECOND);
        });
    }

    private static void startReplicaThenLosePeers(SimulatedDeployment deployment) {
        start(deployment, "r1");
        deployment.run(SECOND);
        fail(deployment, "p", "r2", "r3");
        promote(deployment, "r1");
        deployment.run(10 * SECOND);
    }

    private static void startReplicaThenRemovePeers(SimulatedDeployment deployment) {
        start(deployment, "r1");
        deployment.run(SECOND);
        fail(deployment, "p", "r2", "r3");
        deployment.run(300 * MS);
        deployment.announce(EndpointUpdateType.DELTA, List.of("p", "r2", "r3"), EndpointState.REMOVED);
        promote(deployment, "r1");
        deployment.run(10 * SECOND);
    }

    private static void restartPrimaryThenRouters(SimulatedDeployment deployment) {
        start(deployment, "p");
        deployment.run(SECOND);
        deployment.restartRouters();
        deployment.run(10 * SECOND);
    }

    @Test
    void budgetIsKeptAfterRouterStartupWhenReplicaStarts() {
        assertBudgetKeptAfterStartup(deployment -> {
            start(deployment, "r1");
            deployment.run(12 * SECOND);
        });
    }

    @Test
    void budgetIsKeptAfterRouterStartupWhenAllPeersBecomeUnreachable() {
        assertBudgetKeptAfterStartup(SlowStartBudgetTest::startReplicaThenLosePeers);
    }

    @Test
    void budgetIsKeptAfterRouterStartupWhenAllPeersAreRemoved() {
        assertBudgetKeptAfterStartup(SlowStartBudgetTest::startReplicaThenRemovePeers);
    }

    @Test
    void budgetIsKeptAfterRouterStartupWhenRoutersRestartDuringSlowStartOfPrimary() {
        assertBudgetKeptAfterStartup(SlowStartBudgetTest::restartPrimaryThenRouters);
    }

    @Test
    void budgetIsKeptAfterRouterStartupWhenReplicaSetAndRoutersRestart() {
        assertBudgetKeptAfterStartup(deployment -> {
            fail(deployment, "p", "r1", "r2", "r3");
            deployment.run(SECOND);
            deployment.hosts.values().forEach(SimulatedDeployment.Host::restart);
            deployment.restartRouters();
            deployment.run(10 * SECOND);
        });
    }
}
