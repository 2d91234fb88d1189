package mintstair.decision;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * What a cold host is sent by all processes together, which share nothing, in virtual time: within any span of the
 * settings' length no more than the multiple of what it can do then, N, and 2 x root of N + 2 for chance.
 */
class ColdRampTest {
    private static final long MS = RouterFixture.MS;
    private static final long SECOND = 1_000 * MS;
    /**
     * Of the settings of RouterFixture: a fall is counted over 2 s, at 3 times what the host can do; it starts at 0.2
     * and is warm after 10 s.
     */
    private static final long FALL = 2 * SECOND;

    private static final double MULTIPLE = 3;
    private static final double COLD = 0.2;
    private static final long WARM = 10 * SECOND;
    /** Requests a second that a warm host can do. */
    private static final double CAPACITY = 40;

    private record Event(long at, int router, long id) {}

    /**
     * One group at so many routers, one of which sees as much traffic as a third of the others together; some hosts
     * start at 0.
     */
    private static final class Play {
        final List<RouterFixture> fixtures = new ArrayList<>();
        final double[] share;
        final Random random;
        final long began = 1_000_000_000L;
        final Map<String, List<Long>> sent = new TreeMap<>();

        Play(int routers, long seed) {
            random = new Random(seed);
            share = new double[routers];
            double sum = 0;
            for (int i = 0; i < routers; i++) {
                share[i] = 0.2 + random.nextDouble() + (i == 0 ? routers / 3.0 : 0);
                sum += share[i];
                RouterFixture fixture = new RouterFixture();
                fixture.fleetSize = routers;
                fixture.seed = random.nextLong();
                fixture.hasSharedSession = false;
                fixtures.add(fixture.start().listReplicaSet());
            }
            for (int i = 0; i < routers; i++) {
                share[i] /= sum;
            }
        }

        /**
         * Plays 12 s with so many requests a second; {@code cold} start at 0, {@code gone} are lost then, and all are
         * told.
         */
        void play(double rate, List<String> cold, List<String> gone) {
            for (RouterFixture fixture : fixtures) {
                for (String host : cold) {
                    fixture.updateEndpoints(
                            EndpointUpdateType.DELTA,
                            new EndpointEntry(host, false, "z", 0, EndpointState.SERVING, 1, began));
                }
                gone.forEach(host -> fixture.updateState(host, EndpointState.REMOVED));
            }
            PriorityQueue<Event> events =
                    new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.id, b.id));
            long id = 0;
            for (int i = 0; i < share.length; i++) {
                for (double at = 0; at < 12e6; at += -Math.log(1 - random.nextDouble()) / (rate * share[i]) * 1e6) {
                    events.add(new Event(began + (long) at, i, ++id));
                }
            }
            int[] answered = new int[fixtures.size()];
            List<PriorityQueue<long[]>> due = new ArrayList<>();
            fixtures.forEach(fixture -> due.add(new PriorityQueue<>((a, b) -> Long.compare(a[0], b[0]))));
            while (!events.isEmpty()) {
                Event e = events.poll();
                RouterFixture fixture = fixtures.get(e.router);
                settle(fixture, e.router, e.at, answered, due.get(e.router), cold);
                fixture.now = Math.max(fixture.now, e.at);
                fixture.sendRequest(
                        e.id,
                        e.id % 8 == 0
                                ? RouterFixture.NON_IDEMPOTENT_WRITE
                                : e.id % 2 == 0 ? RouterFixture.EVENTUAL_READ : RouterFixture.BOUNDED_READ);
                settle(fixture, e.router, e.at, answered, due.get(e.router), cold);
            }
        }

        /**
         * Lets the time of one router come to this: polls are answered after 2 ms, attempts after 60 ms, ticks as
         * they are due.
         */
        private void settle(
                RouterFixture fixture,
                int router,
                long at,
                int[] answered,
                PriorityQueue<long[]> due,
                List<String> cold) {
            while (true) {
                for (; answered[router] < fixture.sentAttempts.size(); answered[router]++) {
                    RouterFixture.SentAttempt s = fixture.sentAttempts.get(answered[router]);
                    if (cold.contains(s.host())) {
                        sent.computeIfAbsent(s.host(), host -> new ArrayList<>())
                                .add(s.sentAt());
                    }
                    due.add(new long[] {s.sentAt() + 60 * MS, answered[router]});
                }
                fixture.answerHealthChecks(20 * MS);
                if (due.isEmpty() || due.peek()[0] > at) {
                    break;
                }
                long[] next = due.poll();
                fixture.now = Math.max(fixture.now, next[0]);
                RouterFixture.SentAttempt s = fixture.sentAttempts.get((int) next[1]);
                fixture.endAttempt(s, fixture.attemptsOf(s.requestId()).indexOf(s), AttemptOutcome.SUCCESS);
            }
            if (at - fixture.now > 20 * MS) {
                fixture.now = at;
                fixture.router.onTimer(at, "tick");
            }
        }

        /**
         * The most by which a span of the settings' length was over a host's budget of N, of the 2 x root of N + 2
         * that are chance.
         */
        double worst() {
            double worst = 0;
            for (List<Long> times : sent.values()) {
                times.sort(null);
                int from = 0;
                for (int to = 0; to < times.size(); to++) {
                    while (times.get(to) - times.get(from) >= FALL) {
                        from++;
                    }
                    double share = COLD + (1 - COLD) * Math.min(1, (double) (times.get(to) - began) / WARM);
                    double n = MULTIPLE * CAPACITY * share * FALL / 1e6;
                    worst = Math.max(worst, (to - from + 1 - n) / (2 * Math.sqrt(n) + 2));
                }
            }
            return worst;
        }
    }

    private static void holds(String what, double load, List<String> cold, List<String> gone) {
        for (int routers : new int[] {1, 2, 3, 20, 30, 120}) {
            for (long seed = 0; seed < 10; seed++) {
                Play play = new Play(routers, seed * 31 + routers);
                play.play(load * CAPACITY * (4 - gone.size()), cold, gone);
                double worst = play.worst();
                assertTrue(
                        worst <= 1,
                        what + ", " + routers + " routers, seed " + seed + ": " + worst + " times the chance");
                assertTrue(
                        cold.stream()
                                .allMatch(host ->
                                        play.sent.getOrDefault(host, List.of()).size() > 20),
                        what + ": cold hosts are used");
            }
        }
    }

    @Test
    void oneColdReplicaAmongWarmOnesAtFullLoad() {
        holds("one cold", 1.0, List.of("r1"), List.of());
    }

    @Test
    void oneColdReplicaWhosePeersAreGone() {
        holds("alone", 1.5, List.of("r1"), List.of("r2", "r3"));
    }

    @Test
    void coldPrimary() {
        holds("primary", 1.0, List.of("p"), List.of());
    }

    @Test
    void wholeGroupThatIsColdUnderABurst() {
        holds("group", 1.5, List.of("p", "r1", "r2", "r3"), List.of());
    }
}
