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

/**
 * Tests the shares that routers with an observed fleet size take of limits that all routers have in common, while
 * members fail, are partitioned and recover.
 */
class FleetShareTest {
    private static final long SECOND = 1_000_000;
    private static final int ROUTERS = 100;
    private final RouterFixture[] fixtures = new RouterFixture[ROUTERS];
    private SimulatedFleet fleet;
    private double maxSum;

    /** Creates a fleet that is configured for 100 routers, of which some run. */
    private void startFleet(int running, long seed) {
        fleet = new SimulatedFleet(ROUTERS, ROUTERS, 0.02, seed);
        fleet.nodes.subList(0, running).forEach(fleet::start);
        for (int i = 0; i < ROUTERS; i++) {
            fixtures[i] = new RouterFixture();
            fixtures[i].fleetSize = ROUTERS;
            fixtures[i].start().listReplicaSet();
        }
    }

    /** Returns the sum of the shares of all routers that run and are not stalled. */
    private double sumOfShares() {
        double sum = 0;
        for (SimulatedFleet.Node node : fleet.running()) {
            ClusterSizeEstimate estimate = node.swim.sizeEstimate();
            ReadWriteSplitter router = (ReadWriteSplitter) fixtures[node.index].router;
            router.onFleetSize(
                    fleet.nowMicros, new FleetSize(estimate.largest(), estimate.counted(), estimate.settled()));
            sum += node.isStalled() ? 0 : 1 / router.effectiveFleetSize();
        }
        return sum;
    }

    /** Lets time pass and checks every 200 ms that the shares add up to no more than 1. */
    private void pass(long time) {
        for (long end = fleet.nowMicros + time; fleet.nowMicros < end; fleet.advance(200_000)) {
            maxSum = Math.max(maxSum, sumOfShares());
            assertTrue(maxSum <= 1 + 1e-9, "shares add up to " + maxSum + " by " + fleet.nowMicros / 1e6 + " s");
        }
    }

    @Test
    void settledRoutersUseTheWholeLimit() {
        startFleet(ROUTERS, 1);
        pass(60 * SECOND);
        assertEquals(1, sumOfShares(), 1e-9);
    }

    /** With the configured size of 100 alone, 60 running routers would leave two fifths of every limit unused. */
    @Test
    void fleetSmallerThanConfiguredUsesMoreThanTheConfiguredShares() {
        startFleet(60, 2);
        pass(60 * SECOND);
        assertEquals(0.8, sumOfShares(), 1e-9);
    }

    /**
     * If each router took an equal share among the members that it sees alive, the shares on both sides of the
     * partition would add up to 2.
     */
    @Test
    void sidesOfAPartitionTogetherKeepTheLimit() {
        startFleet(ROUTERS, 3);
        pass(60 * SECOND);
        fleet.network = SimulatedFleet.partitioned(0.02, 40);
        pass(150 * SECOND);
        assertEquals(1, sumOfShares(), 1e-9);
        fleet.network = SimulatedFleet.lossy(0.02);
        pass(60 * SECOND);
        assertEquals(1, sumOfShares(), 1e-9);
    }

    /**
     * The other routers cannot distinguish the failure of 70 members at once from a partition, so their shares stay
     * small until those members are restarted.
     */
    @Test
    void limitIsKeptWhenSeventyOfAHundredAreKilled() {
        startFleet(ROUTERS, 4);
        pass(60 * SECOND);
        fleet.nodes.subList(30, 100).forEach(fleet::kill);
        pass(20 * SECOND);
        assertEquals(0.15, sumOfShares(), 1e-9);
        fleet.nodes.subList(30, 100).forEach(fleet::start);
        pass(60 * SECOND);
        assertEquals(1, sumOfShares(), 1e-9);
    }

    /**
     * Thirty members that leave are excluded from the count at once; thirty whose machines fail are excluded when their
     * failure has been detected.
     */
    @Test
    void fleetThatShrinksUsesTheSharesOfMembersThatLeftOrFailed() {
        startFleet(ROUTERS, 5);
        pass(60 * SECOND);
        fleet.nodes.subList(0, 30).forEach(node -> {
            node.swim.leave();
            fleet.kill(node);
        });
        pass(30 * SECOND);
        assertEquals(0.5 * 0.7 + 0.5, sumOfShares(), 1e-9);
        fleet.nodes.subList(30, 60).forEach(fleet::failMachine);
        pass(150 * SECOND);
        assertEquals(0.5 * 0.4 + 0.5, sumOfShares(), 1e-9);
    }

    /** Partitions, lost messages, stalls and restarts in random order. */
    @Test
    void limitIsKeptUnderRandomFaults() {
        for (int seed = 10; seed < 13; seed++) {
            startFleet(ROUTERS, seed);
            Random random = new Random(seed);
            pass(30 * SECOND);
            for (int i = 0; i < 12; i++) {
                int first = 1 + random.nextInt(40);
                switch (random.nextInt(5)) {
                    case 0 -> fleet.network = SimulatedFleet.partitioned(0.05, 1 + random.nextInt(99));
                    case 1 -> fleet.network = SimulatedFleet.lossy(0.1);
                    case 2 -> fleet.nodes.subList(first, first + 30).forEach(fleet::kill);
                    case 3 ->
                        fleet.nodes
                                .subList(first, first + 30)
                                .forEach(node -> fleet.stall(node, fleet.nowMicros + random.nextInt(60) * SECOND));
                    default ->
                        fleet.nodes.stream()
                                .filter(node -> !node.isRunning)
                                .toList()
                                .forEach(fleet::start);
                }
                pass(random.nextInt(60) * SECOND);
            }
        }
    }

    /**
     * Returns how many writes reach a new primary within 16 s of its promotion, after a search of 24 s in which there
     * was no primary.
     */
    private static long writesToNewPrimary(List<RouterFixture> running) {
        for (RouterFixture fixture : running) {
            fixture.updateState("p", EndpointState.DRAINING);
            for (int i = 0; i < 2000; i++) {
                for (; fixture.answeredHealthChecks < fixture.healthChecks.size(); fixture.answeredHealthChecks++) {
                    boolean isPromoted = i >= 1200
                            && fixture.healthChecks
                                    .get(fixture.answeredHealthChecks)
                                    .equals("r1");
                    fixture.answerHealthCheck(
                            fixture.healthChecks.get(fixture.answeredHealthChecks),
                            isPromoted ? fixture.now : fixture.now - 5 * SECOND,
                            isPromoted ? ReplicationRole.PRIMARY : ReplicationRole.REPLICA);
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
        return running.stream()
                .mapToLong(fixture -> fixture.sentAttempts.size())
                .sum();
    }

    /** The polls that the missing routers do not send are used by the others, which find the primary sooner. */
    @Test
    void fleetSmallerThanConfiguredFindsANewPrimarySooner() {
        long observed = writesToNewPrimary(routers(60, 0, 60));
        long configured = writesToNewPrimary(routers(60, 0, 0));
        assertTrue(
                observed > 1.05 * configured,
                observed + " writes sent with the observed size, " + configured + " with the configured one");
    }

    /**
     * The requests that a host in slow start gets depend on the traffic of each router, so no view of the fleet changes
     * their share.
     */
    @Test
    void shareOfAHostInSlowStartIsIndependentOfTheFleetSize() {
        for (List<RouterFixture> routers :
                List.of(routers(100, 0, 100), routers(60, 40, 60), routers(0, 100, 100), routers(30, 0, 30))) {
            long sent = 0;
            for (RouterFixture fixture : routers) {
                fixture.updateEndpoints(
                        EndpointUpdateType.DELTA,
                        new EndpointEntry("r1", false, "z", 0, EndpointState.SERVING, 1, fixture.now));
                fixture.sendRequest(1, RouterFixture.EVENTUAL_READ);
                sent += fixture.attemptsOf(1).stream()
                        .filter(attempt -> attempt.host().equals("r1"))
                        .count();
            }
            // A warm replica gets a third of the reads, a replica whose slow start begins a fifth of that.
            assertTrue(sent < 0.17 * routers.size(), sent + " of " + routers.size());
        }
    }

    /**
     * Returns the polls per second that a host of a replica set without a primary gets from all routers, after their
     * backoff has grown for 24 s.
     */
    private static double pollsPerSecond(List<RouterFixture> running) {
        long polls = 0;
        for (RouterFixture fixture : running) {
            fixture.updateState("p", EndpointState.DRAINING);
            for (int i = 0; i < 2400; i++) {
                for (; fixture.answeredHealthChecks < fixture.healthChecks.size(); fixture.answeredHealthChecks++) {
                    fixture.answerHealthCheck(
                            fixture.healthChecks.get(fixture.answeredHealthChecks),
                            fixture.now - 5 * SECOND,
                            ReplicationRole.REPLICA);
                }
                if (i % 20 == 0) {
                    fixture.sendRequest(i, RouterFixture.NON_IDEMPOTENT_WRITE, 1_200_000, Positions.UNKNOWN);
                }
                fixture.advance(20_000);
                if (i >= 1200) {
                    List<String> openPolls =
                            fixture.healthChecks.subList(fixture.answeredHealthChecks, fixture.healthChecks.size());
                    polls += openPolls.stream().filter("r1"::equals).count();
                }
            }
        }
        return polls / 24.0;
    }

    /**
     * Starts routers that are configured for a fleet of 100.
     *
     * @param settled the number of routers that are settled
     * @param others the number of routers that are not
     * @param counted the number of members that each router counts, or 0 if it has not observed the fleet
     */
    private static List<RouterFixture> routers(int settled, int others, int counted) {
        List<RouterFixture> routers = new ArrayList<>();
        for (int i = 0; i < settled + others; i++) {
            RouterFixture fixture = new RouterFixture();
            fixture.fleetSize = ROUTERS;
            fixture.seed = i;
            fixture.hasSharedSession = false;
            fixture.start().listReplicaSet();
            if (counted > 0) {
                fixture.router.onFleetSize(fixture.now, new FleetSize(ROUTERS, counted, i < settled));
            }
            routers.add(fixture);
        }
        return routers;
    }

    /**
     * The polls of all routers that search for a primary stay within the limit of a host in a partitioned fleet, and
     * use more of it in a fleet smaller than configured.
     */
    @Test
    void pollsOfAHostFollowTheShares() {
        double partitioned = pollsPerSecond(routers(60, 40, 60));
        assertTrue(partitioned <= 11, "partitioned into 60 and 40: " + partitioned + " polls per second");
        double observed = pollsPerSecond(routers(60, 0, 60));
        double configured = pollsPerSecond(routers(60, 0, 0));
        assertTrue(
                observed <= 11 && observed > 1.15 * configured,
                "60 of 100: " + observed + " polls per second, " + configured + " with the configured size");
    }
}
