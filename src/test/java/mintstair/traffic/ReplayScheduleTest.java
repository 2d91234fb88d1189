package mintstair.traffic;

import static mintstair.traffic.ExchangeBuilder.exchange;
import static mintstair.traffic.ExchangeBuilder.unanswered;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import mintstair.traffic.RecordedExchange.Result;
import mintstair.traffic.ReplaySchedule.Dispatch;
import mintstair.traffic.ScheduledRequest.State;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ReplayScheduleTest {
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final int TIMEOUT_MILLIS = 400;
    private static final double NO_END = 1e9;

    private static RecordedExchange write(int connection, long requestMillis, long responseMillis, String session) {
        return exchange(requestMillis, responseMillis)
                .connection(connection)
                .session(session)
                .write(true)
                .requestClass("order")
                .timeoutMillis(TIMEOUT_MILLIS)
                .build();
    }

    private static ExchangeBuilder read(int connection, long requestMillis, long responseMillis, String session) {
        return exchange(requestMillis, responseMillis)
                .connection(connection)
                .session(session)
                .requestClass("basket")
                .timeoutMillis(TIMEOUT_MILLIS);
    }

    private static ReplayOptions window(double speed, double fromSeconds, double untilSeconds) {
        return new ReplayOptions(speed, fromSeconds, untilSeconds, Set.of(), Set.of(), 1, false, 0);
    }

    private static ReplayOptions selection(Set<String> classes, Set<String> sessions) {
        return new ReplayOptions(1, 0, 9, classes, sessions, 1, false, 0);
    }

    private static ReplayOptions retries(boolean live, double budget) {
        return new ReplayOptions(1, 0, 9, Set.of(), Set.of(), 1, live, budget);
    }

    /** Three requests, two seconds apart. */
    private static final List<RecordedExchange> THREE_REQUESTS = List.of(
            read(1, 1_000, 1_010, "a").build(),
            write(1, 3_000, 3_010, "b"),
            read(2, 5_000, 5_010, "c").build());

    private static List<Long> dueMillis(ReplaySchedule schedule) {
        return schedule.requests().stream()
                .map(request -> request.dueNanos() / MILLI)
                .toList();
    }

    @Test
    void speedDividesTheRecordedDistances() {
        ReplaySchedule schedule = new ReplaySchedule(THREE_REQUESTS, window(2, 0, NO_END));

        assertEquals(List.of(0L, 1000L, 2000L), dueMillis(schedule));
    }

    @Test
    void windowLeavesOutWhatIsBeforeAndBehindIt() {
        ReplaySchedule schedule = new ReplaySchedule(THREE_REQUESTS, window(1, 1.5, 3));

        assertEquals(List.of(500L), dueMillis(schedule));
    }

    @Test
    void classesAndSessionsSelectRequests() {
        ReplaySchedule oneClass = new ReplaySchedule(THREE_REQUESTS, selection(Set.of("order"), Set.of()));
        ReplaySchedule twoSessions = new ReplaySchedule(THREE_REQUESTS, selection(Set.of(), Set.of("a", "c")));

        assertEquals(1, oneClass.requests().size());
        assertEquals(2, twoSessions.requests().size());
    }

    @Test
    void copiesMultiplyRequests() {
        ReplayOptions threeCopies = new ReplayOptions(1, 0, 9, Set.of(), Set.of(), 3, false, 0);

        assertEquals(
                9, new ReplaySchedule(THREE_REQUESTS, threeCopies).requests().size());
    }

    @Test
    void speedOfZeroIsRejected() {
        assertThrows(IllegalArgumentException.class, () -> window(0, 0, 9));
    }

    @Test
    void emptyRecordingIsFinished() {
        assertTrue(new ReplaySchedule(List.of(), ReplayOptions.ALL).isFinished());
    }

    @Test
    void readWaitsForTheResponseOfItsWriteAndAsksForWhatThatWrote() {
        ReplaySchedule schedule = new ReplaySchedule(
                List.of(
                        write(1, 0, 10, "a"),
                        read(1, 20, 25, "a").minimumPositionMillis(5).build(),
                        read(2, 21, 26, "b").minimumPositionMillis(7).build(),
                        read(3, 22, 26, "c").build()),
                ReplayOptions.ALL);
        ScheduledRequest write = schedule.due(0).get(0).request();

        List<Dispatch> others = schedule.due(22 * MILLI);
        assertEquals(
                List.of("b", "c"),
                others.stream()
                        .map(other -> other.request().recorded().session())
                        .toList(),
                "nobody else waits");
        assertSame(PositionToken.RECORDED, others.get(0).token());
        assertSame(PositionToken.NONE, others.get(1).token());

        schedule.answered(write, 90 * MILLI, Result.SERVED, 0);
        Dispatch read = schedule.due(90 * MILLI).get(0);
        assertEquals(new PositionToken.AfterWrite(90 * MILLI), read.token());

        schedule.answered(read.request(), 95 * MILLI, Result.SERVED, 0);
        others.forEach(other -> schedule.answered(other.request(), 95 * MILLI, Result.SERVED, 0));
        assertTrue(schedule.isFinished());
    }

    @Test
    void readWhoseWriteIsAnsweredTooLateIsNotSent() {
        ReplaySchedule schedule = new ReplaySchedule(
                List.of(
                        write(1, 0, 10, "a"),
                        read(1, 20, 25, "a").minimumPositionMillis(5).build()),
                ReplayOptions.ALL);
        ScheduledRequest write = schedule.due(0).get(0).request();
        assertTrue(schedule.due(20 * MILLI).isEmpty());

        schedule.answered(write, 421 * MILLI, Result.NONE, 0);

        assertTrue(schedule.due(421 * MILLI).isEmpty());
        assertEquals(State.TOO_LATE, schedule.requests().get(1).state());
        assertTrue(schedule.isFinished());
    }

    @Test
    void busyConnectionIsNotUsedAndABrokenOneNotUsedAgain() {
        ReplaySchedule schedule = new ReplaySchedule(
                List.of(
                        read(1, 0, 5, "a").build(),
                        read(1, 10, 15, "b").build(),
                        read(1, 20, 25, "c").build(),
                        read(1, 30, 35, "d").build()),
                ReplayOptions.ALL);

        Dispatch first = schedule.due(0).get(0);
        Dispatch second = schedule.due(10 * MILLI).get(0);
        assertNotSame(first.connection(), second.connection());

        schedule.answered(first.request(), 12 * MILLI, Result.SERVED, 0);
        Dispatch third = schedule.due(20 * MILLI).get(0);
        assertEquals(first.connection(), third.connection());

        schedule.answered(third.request(), 22 * MILLI, Result.NONE, 0);
        assertNotSame(third.connection(), schedule.due(30 * MILLI).get(0).connection());
    }

    private static List<RecordedExchange> twentyReadsAndARetry() {
        List<RecordedExchange> recorded = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            recorded.add(read(i, i, i + 5, "s" + i).build());
        }
        recorded.add(read(0, 30, 35, "s0").retry().build());
        return recorded;
    }

    @Test
    void recordedRetriesArePlayedUnlessRetriesAreLive() {
        assertEquals(
                21,
                new ReplaySchedule(twentyReadsAndARetry(), retries(false, 0.1))
                        .requests()
                        .size());
        assertEquals(
                20,
                new ReplaySchedule(twentyReadsAndARetry(), retries(true, 0.1))
                        .requests()
                        .size());
    }

    @Test
    void liveRetriesFollowRejectionsWithinTheirBudget() {
        ReplaySchedule schedule = new ReplaySchedule(twentyReadsAndARetry(), retries(true, 0.1));

        schedule.due(19 * MILLI).forEach(sent -> schedule.answered(sent.request(), 20 * MILLI, Result.REFUSED, 50));

        assertEquals(22, schedule.requests().size());
        assertEquals(18, schedule.retriesRejected());
        assertEquals(70 * MILLI, schedule.nextDueNanos());
        List<Dispatch> retries = schedule.due(70 * MILLI);
        assertTrue(retries.stream().allMatch(retry -> retry.request().isRetry()));
        retries.forEach(retry -> schedule.answered(retry.request(), 80 * MILLI, Result.SERVED, 0));
        assertTrue(schedule.isFinished());
    }

    /**
     * Random recordings and responses, in virtual time: each request is sent once at most and never before it is
     * due; no connection carries two; a read is sent only after the response to the write that it follows; what
     * need not wait is sent when it is due, however late others are; in the end each was answered or is too late,
     * and only followers of late writes are.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 50, 100, 150, 200, 250})
    void randomSchedulesKeepTheirPromises(int firstSeed) {
        for (int seed = firstSeed; seed < firstSeed + 50; seed++) {
            new VirtualReplay(seed).play();
        }
    }

    /** Plays a random recording in virtual time, and checks what is sent. */
    private static final class VirtualReplay {
        private final String seedText;
        private final Random random;
        private final ReplaySchedule schedule;
        private final Set<ScheduledRequest> sent = new HashSet<>();
        private final Set<ReplayConnection> busy = new HashSet<>();
        private final Map<ScheduledRequest, Long> responseNanos = new LinkedHashMap<>();

        VirtualReplay(int seed) {
            seedText = ", seed " + seed;
            random = new Random(seed);
            List<RecordedExchange> recorded = randomRecording();
            int speed = 1 + random.nextInt(3);
            int copies = 1 + random.nextInt(2);
            boolean liveRetries = random.nextBoolean();
            schedule = new ReplaySchedule(
                    recorded, new ReplayOptions(speed, 0, 9, Set.of(), Set.of(), copies, liveRetries, 0.2));
        }

        private List<RecordedExchange> randomRecording() {
            List<RecordedExchange> recorded = new ArrayList<>();
            for (int i = 0; i < 300; i++) {
                int connection = random.nextInt(12);
                long requestMillis = random.nextInt(3_000);
                boolean answered = random.nextInt(10) != 0;
                long responseMillis = requestMillis + 1 + random.nextInt(100);
                ExchangeBuilder exchange =
                        answered ? exchange(requestMillis, responseMillis) : unanswered(requestMillis);
                exchange.connection(connection).timeoutMillis(TIMEOUT_MILLIS).session("s" + random.nextInt(10));
                exchange.write(random.nextInt(3) == 0).minimumPositionMillis(random.nextBoolean() ? 1 : -1);
                if (random.nextInt(20) == 0) {
                    exchange.retry();
                }
                recorded.add(exchange.build());
            }
            return recorded;
        }

        void play() {
            long nowNanos = 0;
            while (!schedule.isFinished()) {
                for (Dispatch dispatch : schedule.due(nowNanos)) {
                    checkDispatch(dispatch, nowNanos);
                    long latencyMillis = random.nextInt(15) == 0 ? 1_500 : 1 + random.nextInt(60);
                    responseNanos.put(dispatch.request(), nowNanos + latencyMillis * MILLI);
                }
                long nextResponseNanos =
                        responseNanos.values().stream().min(Long::compare).orElse(Long.MAX_VALUE);
                long nextNanos = Math.min(schedule.nextDueNanos(), nextResponseNanos);
                assertTrue(nextNanos < Long.MAX_VALUE, "stuck" + seedText);
                nowNanos = Math.max(nowNanos, nextNanos);
                answerRequests(nowNanos);
            }
            schedule.requests().forEach(this::checkFinished);
        }

        private void checkDispatch(Dispatch dispatch, long nowNanos) {
            ScheduledRequest request = dispatch.request();
            ScheduledRequest write = request.precedingWrite();
            assertTrue(sent.add(request), "sent twice" + seedText);
            assertTrue(request.dueNanos() <= nowNanos, "sent early" + seedText);
            assertTrue(busy.add(dispatch.connection()), "two on one connection" + seedText);
            assertTrue(write == null || write.state() == State.ANSWERED, "before its write's response" + seedText);
            boolean waited = write != null && write.answeredNanos() > request.dueNanos();
            long expectedNanos = waited ? write.answeredNanos() : Math.max(nowNanos, request.dueNanos());
            assertEquals(nowNanos, expectedNanos, "held up by others" + seedText);
        }

        private void answerRequests(long nowNanos) {
            for (ScheduledRequest request : List.copyOf(responseNanos.keySet())) {
                if (responseNanos.get(request) <= nowNanos) {
                    responseNanos.remove(request);
                    busy.remove(request.connection());
                    Result result = Result.values()[random.nextInt(4)];
                    schedule.answered(request, nowNanos, result, random.nextInt(80));
                }
            }
        }

        private void checkFinished(ScheduledRequest request) {
            boolean answered = request.state() == State.ANSWERED;
            boolean tooLate = request.state() == State.TOO_LATE && request.precedingWrite() != null;
            assertTrue(answered || tooLate, request.state() + seedText);
            assertEquals(sent.contains(request), answered);
        }
    }
}
