package mintstair.traffic;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import mintstair.traffic.RecordedExchange.Result;
import mintstair.traffic.ReplaySchedule.Fate;
import mintstair.traffic.ReplaySchedule.Planned;
import mintstair.traffic.ReplaySchedule.Send;
import org.junit.jupiter.api.Test;

class ReplayScheduleTest {
    private static final long MS = 1_000_000;

    private static RecordedExchange exchange(
            int connection, long askedMs, long answeredMs, String session, boolean write, long after, boolean retry) {
        return new RecordedExchange(
                connection,
                askedMs * MS,
                answeredMs * MS,
                "r" + askedMs,
                write ? "order" : "basket",
                1,
                session,
                write,
                retry,
                400,
                after,
                answeredMs > 0 ? Result.SERVED : Result.NONE,
                0,
                0,
                new byte[0]);
    }

    private static ReplayOptions with(double speed, double from, double to, int times, boolean live, double budget) {
        return new ReplayOptions(speed, from, to, Set.of(), Set.of(), times, live, budget);
    }

    @Test
    void distancesSpeedWindowsClassesAndCopies() {
        List<RecordedExchange> all = List.of(
                exchange(1, 1_000, 1_010, "a", false, -1, false),
                exchange(1, 3_000, 3_010, "b", true, -1, false),
                exchange(2, 5_000, 5_010, "c", false, -1, false));
        ReplaySchedule twice = new ReplaySchedule(all, with(2, 0, 1e9, 1, false, 0));
        assertEquals(
                "[0, 1000, 2000]",
                twice.all().stream().map(p -> p.due / MS).toList().toString());
        ReplaySchedule window = new ReplaySchedule(all, with(1, 1.5, 3, 1, false, 0));
        assertEquals(
                "[500]", window.all().stream().map(p -> p.due / MS).toList().toString());
        assertEquals(
                1,
                new ReplaySchedule(all, new ReplayOptions(1, 0, 9, Set.of("order"), Set.of(), 1, false, 0))
                        .all()
                        .size());
        assertEquals(
                2,
                new ReplaySchedule(all, new ReplayOptions(1, 0, 9, Set.of(), Set.of("a", "c"), 1, false, 0))
                        .all()
                        .size());
        assertEquals(
                9, new ReplaySchedule(all, with(1, 0, 9, 3, false, 0)).all().size());
        assertThrows(IllegalArgumentException.class, () -> with(0, 0, 9, 1, false, 0));
        assertTrue(new ReplaySchedule(List.of(), ReplayOptions.ALL).isOver());
    }

    @Test
    void aReadWaitsForTheAnswerOfItsWriteAndAsksForWhatThatWrote() {
        ReplaySchedule s = new ReplaySchedule(
                List.of(
                        exchange(1, 0, 10, "a", true, -1, false),
                        exchange(1, 20, 25, "a", false, 5, false),
                        exchange(2, 21, 26, "b", false, 7, false),
                        exchange(3, 22, 26, "c", false, -1, false)),
                ReplayOptions.ALL);
        Planned write = s.due(0).get(0).request();
        List<Send> others = s.due(22 * MS);
        assertEquals(
                "[b, c]",
                others.stream()
                        .map(o -> o.request().recorded.session())
                        .toList()
                        .toString(),
                "nobody else waits");
        assertEquals(Send.MOVED_ON, others.get(0).afterNanos());
        assertEquals(Send.NO_TOKEN, others.get(1).afterNanos());
        s.answered(write, 90 * MS, Result.SERVED, 0);
        Send read = s.due(90 * MS).get(0);
        assertEquals(90 * MS, read.afterNanos());
        s.answered(read.request(), 95 * MS, Result.SERVED, 0);
        others.forEach(o -> s.answered(o.request(), 95 * MS, Result.SERVED, 0));
        assertTrue(s.isOver());
    }

    @Test
    void aReadWhoseWriteIsAnsweredTooLateIsNotSentAndThatIsTold() {
        ReplaySchedule s = new ReplaySchedule(
                List.of(exchange(1, 0, 10, "a", true, -1, false), exchange(1, 20, 25, "a", false, 5, false)),
                ReplayOptions.ALL);
        Planned write = s.due(0).get(0).request();
        assertTrue(s.due(20 * MS).isEmpty());
        s.answered(write, 421 * MS, Result.NONE, 0);
        assertTrue(s.due(421 * MS).isEmpty());
        assertEquals(Fate.TOO_LATE, s.all().get(1).fate);
        assertTrue(s.isOver());
    }

    @Test
    void aBusyConnectionIsLeftAloneAndABrokenOneNotUsedAgain() {
        ReplaySchedule s = new ReplaySchedule(
                List.of(
                        exchange(1, 0, 5, "a", false, -1, false),
                        exchange(1, 10, 15, "b", false, -1, false),
                        exchange(1, 20, 25, "c", false, -1, false),
                        exchange(1, 30, 35, "d", false, -1, false)),
                ReplayOptions.ALL);
        Send first = s.due(0).get(0);
        Send second = s.due(10 * MS).get(0);
        assertNotSame(first.lane(), second.lane());
        s.answered(first.request(), 12 * MS, Result.SERVED, 0);
        Send third = s.due(20 * MS).get(0);
        assertEquals(first.lane(), third.lane());
        s.answered(third.request(), 22 * MS, Result.NONE, 0);
        assertNotSame(third.lane(), s.due(30 * MS).get(0).lane());
    }

    @Test
    void liveRetriesComeFromRefusalsWithinTheirBudgetAndRecordedOnesAreLeftOut() {
        List<RecordedExchange> all = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            all.add(exchange(i, i, i + 5, "s" + i, false, -1, false));
        }
        all.add(exchange(0, 30, 35, "s0", false, -1, true));
        assertEquals(
                21, new ReplaySchedule(all, with(1, 0, 9, 1, false, 0.1)).all().size());
        ReplaySchedule s = new ReplaySchedule(all, with(1, 0, 9, 1, true, 0.1));
        assertEquals(20, s.all().size());
        s.due(19 * MS).forEach(sent -> s.answered(sent.request(), 20 * MS, Result.REFUSED, 50));
        assertEquals(22, s.all().size());
        assertEquals(18, s.retriesRefused());
        assertEquals(70 * MS, s.wakeAt());
        List<Send> retries = s.due(70 * MS);
        assertTrue(retries.stream().allMatch(r -> r.request().retry));
        retries.forEach(r -> s.answered(r.request(), 80 * MS, Result.SERVED, 0));
        assertTrue(s.isOver());
    }

    /**
     * Random recordings and answers, in virtual time: each request is sent once at most and never before it is due; no connection
     * carries two; a read is sent only after the answer of the write that it follows; what need not wait is sent when it is due,
     * however late others are; in the end each was answered or told to be too late, and only followers of late writes are.
     */
    @Test
    void randomSchedulesKeepTheirPromises() {
        for (int seed = 0; seed < 300; seed++) {
            play(seed);
        }
    }

    private static void play(int seed) {
        Random dice = new Random(seed);
        List<RecordedExchange> all = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            long asked = dice.nextInt(3_000);
            all.add(exchange(
                    dice.nextInt(12),
                    asked,
                    dice.nextInt(10) == 0 ? 0 : asked + 1 + dice.nextInt(100),
                    "s" + dice.nextInt(10),
                    dice.nextInt(3) == 0,
                    dice.nextBoolean() ? 1 : -1,
                    dice.nextInt(20) == 0));
        }
        ReplaySchedule s =
                new ReplaySchedule(all, with(1 + dice.nextInt(3), 0, 9, 1 + dice.nextInt(2), dice.nextBoolean(), 0.2));
        Map<Planned, Long> out = new HashMap<>();
        Set<Planned> sent = new HashSet<>();
        Set<ReplaySchedule.Lane> busy = new HashSet<>();
        Map<Planned, ReplaySchedule.Lane> lanes = new HashMap<>();
        long now = 0;
        while (!s.isOver()) {
            for (Send send : s.due(now)) {
                Planned p = send.request();
                assertTrue(sent.add(p), "sent twice, seed " + seed);
                assertTrue(p.due <= now, "sent early, seed " + seed);
                assertTrue(busy.add(send.lane()), "two on one connection, seed " + seed);
                assertTrue(
                        p.follows == null || p.follows.fate == Fate.ANSWERED,
                        "before its write's answer, seed " + seed);
                boolean waited = p.follows != null && p.follows.answeredAt > p.due;
                assertEquals(
                        now, waited ? p.follows.answeredAt : Math.max(now, p.due), "held up by others, seed " + seed);
                lanes.put(p, send.lane());
                out.put(p, now + (dice.nextInt(15) == 0 ? 1_500 : 1 + dice.nextInt(60)) * MS);
            }
            long next = Math.min(
                    s.wakeAt(), out.values().stream().min(Long::compare).orElse(Long.MAX_VALUE));
            assertTrue(next < Long.MAX_VALUE, "stuck, seed " + seed);
            now = Math.max(now, next);
            for (Planned p : List.copyOf(out.keySet())) {
                if (out.get(p) <= now) {
                    out.remove(p);
                    busy.remove(lanes.get(p));
                    s.answered(p, now, Result.values()[dice.nextInt(4)], dice.nextInt(80));
                }
            }
        }
        for (Planned p : s.all()) {
            assertTrue(
                    p.fate == Fate.ANSWERED || (p.fate == Fate.TOO_LATE && p.follows != null),
                    p.fate + ", seed " + seed);
            assertEquals(sent.contains(p), p.fate == Fate.ANSWERED);
        }
    }
}
