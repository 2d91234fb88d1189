package mintstair.decision;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * Checks the requests that all routers together send to hosts in slow start while each request is served in the same
 * time. The routers share no state and run in virtual time. Within any overload span, a host must not be sent more than
 * the multiple N of its capacity that the settings allow, plus 2 * sqrt(N) + 2 for random variation.
 */
class SlowStartRampTest {
    private static final long MS = RouterFixture.MS;
    private static final long SECOND = 1_000 * MS;
    private static final long START_MICROS = 1_000_000_000L;
    private static final long DURATION_MICROS = 12 * SECOND;
    private static final long LATENCY_MICROS = 60 * MS;
    private static final int HOSTS = 4;
    /** Requests that a warm host serves per second. */
    private static final double HOST_CAPACITY_PER_SECOND = 40;

    // The protection settings of RouterFixture
    private static final long OVERLOAD_SPAN_MICROS = 2 * SECOND;
    private static final double OVERLOAD_MULTIPLE = 3;
    private static final double INITIAL_SHARE = 0.2;
    private static final long SLOW_START_MICROS = 10 * SECOND;

    private record Arrival(long at, int router, long id) {}

    /** The pending reply to the attempt with this index in the list of sent attempts. */
    private record Reply(long at, int attempt) {}

    /** One replica set and its routers, of which the first has much more traffic than any other. */
    private static final class Simulation {
        final List<RouterFixture> fixtures = new ArrayList<>();
        final double[] trafficShares;
        final Random random;
        /** The times of the attempts sent to each host in slow start. */
        final Map<String, List<Long>> sentTimes = new TreeMap<>();

        private final int[] attemptsSeen;
        private final List<PriorityQueue<Reply>> replies = new ArrayList<>();

        Simulation(int routers, long seed) {
            random = new Random(seed);
            trafficShares = new double[routers];
            attemptsSeen = new int[routers];
            double sum = 0;
            for (int i = 0; i < routers; i++) {
                trafficShares[i] = 0.2 + random.nextDouble() + (i == 0 ? routers / 3.0 : 0);
                sum += trafficShares[i];
                RouterFixture fixture = new RouterFixture();
                fixture.fleetSize = routers;
                fixture.seed = random.nextLong();
                fixture.hasSharedSession = false;
                fixtures.add(fixture.start().listReplicaSet());
                replies.add(new PriorityQueue<>(Comparator.comparingLong(Reply::at)));
            }
            for (int i = 0; i < routers; i++) {
                trafficShares[i] /= sum;
            }
        }

        /**
         * Runs the simulation for 12 s. At its beginning some hosts start, others are removed, and all routers receive
         * an endpoint update about it.
         */
        void run(double requestsPerSecond, List<String> started, List<String> removed) {
            for (RouterFixture fixture : fixtures) {
                for (String host : started) {
                    fixture.updateEndpoints(
                            EndpointUpdateType.DELTA,
                            new EndpointEntry(host, false, "z", 0, EndpointState.SERVING, 1, START_MICROS));
                }
                removed.forEach(host -> fixture.updateState(host, EndpointState.REMOVED));
            }
            PriorityQueue<Arrival> arrivals = drawArrivals(requestsPerSecond);
            while (!arrivals.isEmpty()) {
                Arrival arrival = arrivals.poll();
                RouterFixture fixture = fixtures.get(arrival.router);
                advance(arrival.router, arrival.at, started);
                fixture.now = Math.max(fixture.now, arrival.at);
                fixture.sendRequest(arrival.id, classOf(arrival.id));
                advance(arrival.router, arrival.at, started);
            }
        }

        private PriorityQueue<Arrival> drawArrivals(double requestsPerSecond) {
            PriorityQueue<Arrival> arrivals =
                    new PriorityQueue<>(Comparator.comparingLong(Arrival::at).thenComparingLong(Arrival::id));
            long id = 0;
            for (int i = 0; i < trafficShares.length; i++) {
                double rate = requestsPerSecond * trafficShares[i];
                for (double at = 0; at < DURATION_MICROS; at += -Math.log(1 - random.nextDouble()) / rate * SECOND) {
                    arrivals.add(new Arrival(START_MICROS + (long) at, i, ++id));
                }
            }
            return arrivals;
        }

        private static int classOf(long id) {
            if (id % 8 == 0) {
                return RouterFixture.NON_IDEMPOTENT_WRITE;
            }
            return id % 2 == 0 ? RouterFixture.EVENTUAL_READ : RouterFixture.BOUNDED_READ;
        }

        /**
         * Advances one router to a time. Polls are answered within a few milliseconds and attempts after their latency;
         * the timer fires if more than 20 ms have passed without an event.
         */
        private void advance(int router, long time, List<String> started) {
            RouterFixture fixture = fixtures.get(router);
            PriorityQueue<Reply> pending = replies.get(router);
            while (true) {
                for (; attemptsSeen[router] < fixture.sentAttempts.size(); attemptsSeen[router]++) {
                    RouterFixture.SentAttempt attempt = fixture.sentAttempts.get(attemptsSeen[router]);
                    if (started.contains(attempt.host())) {
                        sentTimes
                                .computeIfAbsent(attempt.host(), host -> new ArrayList<>())
                                .add(attempt.sentAt());
                    }
                    pending.add(new Reply(attempt.sentAt() + LATENCY_MICROS, attemptsSeen[router]));
                }
                fixture.answerHealthChecks(20 * MS);
                if (pending.isEmpty() || pending.peek().at > time) {
                    break;
                }
                Reply reply = pending.poll();
                fixture.now = Math.max(fixture.now, reply.at);
                RouterFixture.SentAttempt attempt = fixture.sentAttempts.get(reply.attempt);
                fixture.endAttempt(
                        attempt, fixture.attemptsOf(attempt.requestId()).indexOf(attempt), AttemptOutcome.SUCCESS);
            }
            if (time - fixture.now > 20 * MS) {
                fixture.now = time;
                fixture.router.onTimer(time, "tick");
            }
        }

        /**
         * Returns the largest excess over the budget of a host in any overload span, as a multiple of the tolerated
         * random variation; 0 if no budget was exceeded.
         */
        double worstExcess() {
            double worst = 0;
            for (List<Long> times : sentTimes.values()) {
                times.sort(null);
                int first = 0;
                for (int last = 0; last < times.size(); last++) {
                    while (times.get(last) - times.get(first) >= OVERLOAD_SPAN_MICROS) {
                        first++;
                    }
                    double budget = budget(times.get(last));
                    worst = Math.max(worst, (last - first + 1 - budget) / (2 * Math.sqrt(budget) + 2));
                }
            }
            return worst;
        }

        /** Returns the requests that the settings allow in the overload span that ends at this time. */
        private static double budget(long time) {
            double elapsedShare = Math.min(1, (double) (time - START_MICROS) / SLOW_START_MICROS);
            double capacityShare = INITIAL_SHARE + (1 - INITIAL_SHARE) * elapsedShare;
            return OVERLOAD_MULTIPLE * HOST_CAPACITY_PER_SECOND * capacityShare * OVERLOAD_SPAN_MICROS / SECOND;
        }
    }

    private static void assertBudgetKept(double load, List<String> started, List<String> removed) {
        for (int routers : new int[] {1, 2, 3, 20, 30, 120}) {
            for (long seed = 0; seed < 10; seed++) {
                Simulation simulation = new Simulation(routers, seed * 31 + routers);
                simulation.run(load * HOST_CAPACITY_PER_SECOND * (HOSTS - removed.size()), started, removed);
                String name = routers + " routers, seed " + seed;
                double worst = simulation.worstExcess();
                assertTrue(worst <= 1, name + ": excess is " + worst + " times the tolerated one");
                for (String host : started) {
                    int sent =
                            simulation.sentTimes.getOrDefault(host, List.of()).size();
                    assertTrue(sent > 20, name + ": only " + sent + " requests were sent to " + host);
                }
            }
        }
    }

    @Test
    void budgetIsKeptForOneReplicaAtFullLoad() {
        assertBudgetKept(1.0, List.of("r1"), List.of());
    }

    @Test
    void budgetIsKeptForOneReplicaWhenTheOtherReplicasAreRemoved() {
        assertBudgetKept(1.5, List.of("r1"), List.of("r2", "r3"));
    }

    @Test
    void budgetIsKeptForThePrimaryAtFullLoad() {
        assertBudgetKept(1.0, List.of("p"), List.of());
    }

    @Test
    void budgetIsKeptForAWholeReplicaSetUnderOverload() {
        assertBudgetKept(1.5, List.of("p", "r1", "r2", "r3"), List.of());
    }
}
