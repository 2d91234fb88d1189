package mintstair.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import mintstair.membership.SimulatedFleet;
import mintstair.membership.swim.ClusterSizeEstimate;
import mintstair.request.ReplicationRole;
import org.junit.jupiter.api.Test;

/** What routers that know of each other take of the bounds that they share, while the fleet breaks and heals. */
class FleetShareTest {
    private static final long S = 1_000_000;
    private static final int ROUTERS = 100;
    private final RouterFixture[] fixtures = new RouterFixture[ROUTERS];
    private SimulatedFleet play;
    private double most;

    private void fleet(int running, long seed) {
        play = new SimulatedFleet(ROUTERS, ROUTERS, 0.02, seed);
        play.nodes.subList(0, running).forEach(play::start);
        for (int i = 0; i < ROUTERS; i++) {
            fixtures[i] = new RouterFixture();
            fixtures[i].fleetSize = ROUTERS;
            fixtures[i].start().listReplicaSet();
        }
    }

    /** The parts of all that run and do not stand still, of one. */
    private double sum() {
        double sum = 0;
        for (SimulatedFleet.Node node : play.running()) {
            ClusterSizeEstimate s = node.swim.sizeEstimate();
            ReadWriteSplitter router = (ReadWriteSplitter) fixtures[node.index].router;
            router.onFleetSize(play.nowMicros, new FleetSize(s.largest(), s.counted(), s.settled()));
            sum += node.isStalled() ? 0 : 1 / router.effectiveFleetSize();
        }
        return sum;
    }

    /** Lets time pass; at no moment may all parts together be more than the whole. */
    private void pass(long time) {
        for (long end = play.nowMicros + time; play.nowMicros < end; play.advance(200_000)) {
            most = Math.max(most, sum());
            assertTrue(most <= 1 + 1e-9, "parts add up to " + most + " at " + play.nowMicros / 1e6);
        }
    }

    @Test
    void allThatRunShareTheWholeOnceTheyAreSettled() {
        fleet(ROUTERS, 1);
        pass(60 * S);
        assertEquals(1, sum(), 1e-9);
    }

    /** Told of 100 where 60 run: alone they would leave two fifths of every bound idle. */
    @Test
    void fleetThatIsSmallerThanToldUsesMoreThanEachAloneWould() {
        fleet(60, 2);
        pass(60 * S);
        assertEquals(0.8, sum(), 1e-9);
    }

    /** 1 / alive on both sides of the cut would add up to 2 here. */
    @Test
    void sidesOfACutTogetherKeepTheBound() {
        fleet(ROUTERS, 3);
        pass(60 * S);
        play.network = SimulatedFleet.partitioned(0.02, 40);
        pass(150 * S);
        assertEquals(1, sum(), 1e-9);
        play.network = SimulatedFleet.lossy(0.02);
        pass(60 * S);
        assertEquals(1, sum(), 1e-9);
    }

    /**
     * Seventy of a hundred die at once: the rest can't tell it from a cut, and are whole again when others have
     * started.
     */
    @Test
    void seventyOfAHundredThatAreKilledLeaveTheBoundKept() {
        fleet(ROUTERS, 4);
        pass(60 * S);
        play.nodes.subList(30, 100).forEach(play::kill);
        pass(20 * S);
        assertEquals(0.15, sum(), 1e-9);
        play.nodes.subList(30, 100).forEach(play::start);
        pass(60 * S);
        assertEquals(1, sum(), 1e-9);
    }

    /** Thirty that end in order are counted out at once; thirty machines that are lost once they must have noticed. */
    @Test
    void fleetThatShrinksTakesUpWhatIsLeft() {
        fleet(ROUTERS, 5);
        pass(60 * S);
        play.nodes.subList(0, 30).forEach(n -> {
            n.swim.leave();
            play.kill(n);
        });
        pass(30 * S);
        assertEquals(0.5 * 0.7 + 0.5, sum(), 1e-9);
        play.nodes.subList(30, 60).forEach(play::failMachine);
        pass(150 * S);
        assertEquals(0.5 * 0.4 + 0.5, sum(), 1e-9);
    }

    /** Cuts, losses, stalls and restarts in a row. */
    @Test
    void randomFaultsNeverBreakTheBound() {
        for (int seed = 10; seed < 13; seed++) {
            fleet(ROUTERS, seed);
            Random chance = new Random(seed);
            pass(30 * S);
            for (int i = 0; i < 12; i++) {
                int some = 1 + chance.nextInt(40);
                switch (chance.nextInt(5)) {
                    case 0 -> play.network = SimulatedFleet.partitioned(0.05, 1 + chance.nextInt(99));
                    case 1 -> play.network = SimulatedFleet.lossy(0.1);
                    case 2 -> play.nodes.subList(some, some + 30).forEach(play::kill);
                    case 3 ->
                        play.nodes
                                .subList(some, some + 30)
                                .forEach(n -> play.stall(n, play.nowMicros + chance.nextInt(60) * S));
                    default ->
                        play.nodes.stream().filter(n -> !n.isRunning).toList().forEach(play::start);
                }
                pass(chance.nextInt(60) * S);
            }
        }
    }

    /** Writes that reach a new primary in the 16 s after it came up, when it had been looked for in vain for 24 s. */
    private static long served(List<RouterFixture> running) {
        for (RouterFixture fixture : running) {
            fixture.updateState("p", EndpointState.DRAINING);
            for (int i = 0; i < 2000; i++) {
                for (; fixture.answeredHealthChecks < fixture.healthChecks.size(); fixture.answeredHealthChecks++) {
                    boolean up = i >= 1200
                            && fixture.healthChecks
                                    .get(fixture.answeredHealthChecks)
                                    .equals("r1");
                    fixture.answerHealthCheck(
                            fixture.healthChecks.get(fixture.answeredHealthChecks),
                            up ? fixture.now : fixture.now - 5 * S,
                            up ? ReplicationRole.PRIMARY : ReplicationRole.REPLICA);
                }
                if (i % 20 == 0) {
                    fixture.sendRequest(i, RouterFixture.NON_IDEMPOTENT_WRITE, 1_200_000, Positions.UNKNOWN);
                }
                for (RouterFixture.SentAttempt sent : List.copyOf(fixture.attemptsOf(i - i % 20))) {
                    fixture.endAttempt(sent, 0, AttemptOutcome.SUCCESS);
                }
                fixture.advance(20_000);
            }
        }
        return running.stream().mapToLong(b -> b.sentAttempts.size()).sum();
    }

    /** The part of the polls that lies idle otherwise finds the primary sooner. */
    @Test
    void smallFleetServesMoreThanEachAloneWould() {
        long small = served(fixtures(60, 0, 60));
        long alone = served(fixtures(60, 0, 0));
        assertTrue(small > 1.05 * alone, small + " writes served, each alone " + alone);
    }

    /** A cold host's part goes by the requests of each router, so no view of the fleet changes it. */
    @Test
    void coldHostGetsItsPartWhateverTheViews() {
        for (List<RouterFixture> fleet :
                List.of(fixtures(100, 0, 100), fixtures(60, 40, 60), fixtures(0, 100, 100), fixtures(30, 0, 30))) {
            long cold = 0;
            for (RouterFixture fixture : fleet) {
                fixture.updateEndpoints(
                        EndpointUpdateType.DELTA,
                        new EndpointEntry("r1", false, "z", 0, EndpointState.SERVING, 1, fixture.now));
                fixture.sendRequest(1, RouterFixture.EVENTUAL_READ);
                cold += fixture.attemptsOf(1).stream()
                        .filter(s -> s.host().equals("r1"))
                        .count();
            }
            // One in three at random would be 0.33 of them; cold, it may have a fifth of that at first.
            assertTrue(cold < 0.17 * fleet.size(), cold + " of " + fleet.size());
        }
    }

    /** Polls a second at one host of a group without a primary, from all that run, after the first have backed off. */
    private static double polls(List<RouterFixture> running) {
        long polls = 0;
        for (RouterFixture fixture : running) {
            fixture.updateState("p", EndpointState.DRAINING);
            for (int i = 0; i < 2400; i++) {
                for (; fixture.answeredHealthChecks < fixture.healthChecks.size(); fixture.answeredHealthChecks++) {
                    fixture.answerHealthCheck(
                            fixture.healthChecks.get(fixture.answeredHealthChecks),
                            fixture.now - 5 * S,
                            ReplicationRole.REPLICA);
                }
                if (i % 20 == 0) {
                    fixture.sendRequest(i, RouterFixture.NON_IDEMPOTENT_WRITE, 1_200_000, Positions.UNKNOWN);
                }
                fixture.advance(20_000);
                polls += i < 1200
                        ? 0
                        : fixture
                                .healthChecks
                                .subList(fixture.answeredHealthChecks, fixture.healthChecks.size())
                                .stream()
                                .filter("r1"::equals)
                                .count();
            }
        }
        return polls / 24.0;
    }

    private static List<RouterFixture> fixtures(int settled, int others, int counted) {
        List<RouterFixture> fixtures = new ArrayList<>();
        for (int i = 0; i < settled + others; i++) {
            RouterFixture fixture = new RouterFixture();
            fixture.fleetSize = ROUTERS;
            fixture.seed = i;
            fixture.hasSharedSession = false;
            fixture.start().listReplicaSet();
            if (counted > 0) {
                fixture.router.onFleetSize(fixture.now, new FleetSize(ROUTERS, counted, i < settled));
            }
            fixtures.add(fixture);
        }
        return fixtures;
    }

    /**
     * A host's polls by those that look for a primary: within the bound in a cut fleet, and more of it used in a
     * small one.
     */
    @Test
    void pollsAtAHostFollowTheShares() {
        double cut = polls(fixtures(60, 40, 60));
        assertTrue(cut <= 11, "cut 60 and 40: " + cut + " polls a second");
        double small = polls(fixtures(60, 0, 60));
        double alone = polls(fixtures(60, 0, 0));
        assertTrue(small <= 11 && small > 1.15 * alone, "60 of 100: " + small + " polls a second, each alone " + alone);
    }
}
