package mintstair.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import mintstair.request.ReplicationRole;
import org.junit.jupiter.api.Test;

/** The five rules, each able to fail without the bench. */
class RulesTest {
    private static final long MS = Bed.MS;

    @Test
    void everyWaitingRequestIsAnsweredOnceBeforeItsDeadline() {
        Bed bed = new Bed().start();
        bed.list(EndpointUpdateType.SNAPSHOT, Bed.ready("r1"));
        bed.poll("r1", bed.now - 5_000 * MS, ReplicationRole.REPLICA);
        bed.request(1, Bed.UNSAFE_WRITE, 800 * MS, Positions.UNKNOWN);
        bed.request(2, Bed.BOUNDED, 800 * MS, Positions.UNKNOWN);
        bed.pass(800 * MS);
        assertEquals(2, bed.refused.size() + bed.failed.size());
        assertTrue(bed.sends.isEmpty());
        bed.pass(2_000 * MS);
        assertEquals(2, bed.refused.size() + bed.failed.size());
    }

    @Test
    void nothingIsSentAfterTheFinalAnswer() {
        Bed bed = new Bed().start().group();
        bed.request(1, Bed.ANY);
        Bed.Sent first = bed.last();
        bed.pass(2_000 * MS);
        int before = bed.sendsOf(1).size();
        bed.outcome(first, 0, AttemptOutcome.SUCCESS);
        bed.state("p", EndpointState.SERVING);
        bed.pass(500 * MS);
        assertEquals(before, bed.sendsOf(1).size());
        assertTrue(bed.refused.isEmpty() && bed.failed.isEmpty());
    }

    @Test
    void timeOutAtTheDeadlineIsAnsweredAtOnce() {
        Bed bed = new Bed().start().group();
        bed.request(1, Bed.UNSAFE_WRITE, 500 * MS, Positions.UNKNOWN);
        bed.now += 500 * MS;
        bed.outcome(bed.last(), 0, AttemptOutcome.TIMEOUT);
        assertEquals(1, bed.failed.size());
    }

    @Test
    void unsafeWriteIsNeverResentNorRefusedOnceItMayHaveRun() {
        for (AttemptOutcome e : new AttemptOutcome[] {
            AttemptOutcome.ERROR, AttemptOutcome.TIMEOUT, AttemptOutcome.CONNECTION_RESET, AttemptOutcome.CANCELLED
        }) {
            Bed bed = new Bed().start().group();
            bed.request(1, Bed.UNSAFE_WRITE);
            bed.now += 50 * MS;
            bed.outcome(bed.last(), 0, e);
            assertEquals(1, bed.sends.size(), e.name());
            assertEquals(java.util.List.of(1L), bed.failed, e.name());
            assertTrue(bed.refused.isEmpty(), e.name());
        }
    }

    @Test
    void unsafeWriteThatNeverRanGoesOutAgain() {
        for (AttemptOutcome e : new AttemptOutcome[] {AttemptOutcome.OVERLOADED, AttemptOutcome.UNREACHABLE}) {
            Bed bed = new Bed().start().group();
            bed.request(1, Bed.UNSAFE_WRITE);
            bed.now += 20 * MS;
            bed.outcome(bed.last(), 0, e);
            bed.pass(100 * MS);
            assertEquals(2, bed.sends.size(), e.name());
        }
    }

    @Test
    void writeRefusedByAReplicaWaitsForTheNewPrimary() {
        Bed bed = new Bed().start().group();
        bed.request(1, Bed.UNSAFE_WRITE);
        bed.now += 20 * MS;
        bed.outcome(bed.last(), 0, AttemptOutcome.MISDIRECTED, ReplicationRole.REPLICA, Positions.UNKNOWN);
        assertEquals(1, bed.sends.size());
        bed.now += 500 * MS;
        bed.poll("r2", bed.now, ReplicationRole.PRIMARY);
        assertEquals("r2", bed.last().host());
        assertEquals(2, bed.sends.size());
    }

    @Test
    void keyedRepeatStaysInItsWindow() {
        Bed bed = new Bed().start().group();
        bed.request(1, Bed.KEYED_WRITE);
        bed.now += 400 * MS;
        bed.outcome(bed.last(), 0, AttemptOutcome.ERROR);
        assertEquals(2, bed.sends.size());
        bed.now += 600 * MS;
        bed.outcome(bed.last(), 1, AttemptOutcome.ERROR);
        assertEquals(2, bed.sends.size());
        assertEquals(1, bed.failed.size());
        assertTrue(bed.refused.isEmpty());
    }

    @Test
    void keyedRepeatThatWaitedPastItsWindowIsNotSent() {
        Bed bed = new Bed().start().group();
        bed.request(1, Bed.KEYED_WRITE, 4_000 * MS, Positions.UNKNOWN);
        Bed.Sent first = bed.last();
        bed.now += 100 * MS;
        bed.outcome(first, 0, AttemptOutcome.ERROR, ReplicationRole.REPLICA, Positions.UNKNOWN);
        assertEquals(1, bed.sends.size());
        bed.now += 2_000 * MS;
        bed.poll("r2", bed.now, ReplicationRole.PRIMARY);
        bed.pass(40 * MS);
        assertEquals(1, bed.sends.size());
        assertEquals(1, bed.failed.size());
    }

    /**
     * As short as settings may give: one answer each in time, nothing sent past it, no repeat past the window, none
     * of an unsafe write.
     */
    @Test
    void shortestDeadlinesAndWindowsKeepTheRules() {
        for (long deadline : new long[] {1, 5, 20, 60, 300}) {
            for (long window : new long[] {1, 5, 50}) {
                for (AttemptOutcome end : new AttemptOutcome[] {
                    AttemptOutcome.ERROR,
                    AttemptOutcome.CONNECTION_RESET,
                    AttemptOutcome.OVERLOADED,
                    AttemptOutcome.TIMEOUT
                }) {
                    shortTimes(deadline * MS, window * MS, end);
                }
            }
        }
    }

    private static void shortTimes(long deadline, long window, AttemptOutcome end) {
        Bed bed = new Bed();
        bed.deadline = deadline;
        bed.window = window;
        bed.start().group();
        String what = deadline / MS + " ms, window " + window / MS + " ms, " + end;
        long began = bed.now;
        for (int kind = 0; kind < 5; kind++) {
            bed.request(kind, kind, deadline, Positions.UNKNOWN);
        }
        int[] told = new int[5];
        for (int ended = 0; bed.now <= began + deadline + 5 * MS; ) {
            bed.now += MS;
            for (; ended < bed.sends.size() && bed.now >= endOf(bed.sends.get(ended), end, began + deadline); ended++) {
                Bed.Sent sent = bed.sends.get(ended);
                bed.outcome(sent, told[(int) sent.id()]++, end);
            }
            bed.router.onTimer(bed.now, "tick");
        }
        List<Long> answers = new ArrayList<>(bed.refused);
        answers.addAll(bed.failed);
        assertEquals(List.of(0L, 1L, 2L, 3L, 4L), answers.stream().sorted().toList(), what);
        assertTrue(
                bed.sends.stream().allMatch(s -> s.at() <= began + deadline && s.abandonAt() <= began + deadline),
                what + ": " + bed.sends);
        if (end != AttemptOutcome.OVERLOADED) {
            assertTrue(bed.sendsOf(Bed.UNSAFE_WRITE).size() <= 1, what);
            List<Bed.Sent> keyed = bed.sendsOf(Bed.KEYED_WRITE);
            assertTrue(keyed.stream().allMatch(s -> s.at() <= keyed.get(0).at() + window), what + ": " + keyed);
        }
    }

    /** An attempt that is not abandoned before is over with its request. */
    private static long endOf(Bed.Sent sent, AttemptOutcome end, long over) {
        return end != AttemptOutcome.TIMEOUT ? sent.at() + 2 * MS : sent.abandonAt() > 0 ? sent.abandonAt() : over;
    }

    /**
     * It waits for its next attempt, for a second copy, or for a primary: whatever comes then, nothing begins for it.
     */
    @Test
    void nothingBeginsForAClientThatHasGone() {
        Bed bed = new Bed().start().group();
        bed.request(1, Bed.ANY);
        Bed.Sent first = bed.last();
        bed.request(2, Bed.ANY);
        bed.now += 5 * MS;
        bed.outcome(bed.last(), 0, AttemptOutcome.OVERLOADED);
        bed.state("p", EndpointState.REMOVED);
        bed.request(3, Bed.UNSAFE_WRITE);
        assertTrue(bed.sendsOf(3).isEmpty(), "there is no primary");
        int before = bed.sends.size();
        for (long id = 1; id <= 3; id++) {
            bed.router.onClientDisconnected(bed.now, id);
        }
        bed.pass(300 * MS);
        bed.outcome(first, 0, AttemptOutcome.ERROR);
        bed.poll("r1", bed.now, ReplicationRole.PRIMARY);
        bed.pass(1_000 * MS);
        assertEquals(before, bed.sends.size());
        assertTrue(bed.refused.isEmpty() && bed.failed.isEmpty(), "nobody is there to be told");
    }

    @Test
    void noSecondCopyWhereNoneIsAllowed() {
        Bed bed = new Bed();
        bed.secondCopies = false;
        bed.start().group();
        bed.request(1, Bed.BOUNDED);
        for (int i = 0; i < 40; i++) {
            bed.pass(20 * MS);
            bed.poll("r1", bed.now, ReplicationRole.REPLICA);
            bed.poll("r2", bed.now, ReplicationRole.REPLICA);
        }
        assertEquals(1, bed.sendsOf(1).size());
    }

    @Test
    void drainingHostsGetNothingMoreEvenForThoseWhoWait() {
        Bed bed = new Bed().start().group();
        bed.state("p", EndpointState.DRAINING);
        bed.state("r1", EndpointState.REMOVED);
        bed.request(1, Bed.UNSAFE_WRITE);
        for (int i = 0; i < 40; i++) {
            bed.request(10 + i, Bed.ANY);
        }
        bed.pass(400 * MS);
        assertTrue(bed.sends.stream()
                .noneMatch(s -> s.host().equals("p") || s.host().equals("r1")));
        assertFalse(bed.sends.isEmpty());
    }

    @Test
    void hostMissingFromAWholeListIsGone() {
        Bed bed = new Bed().start().group();
        bed.list(EndpointUpdateType.SNAPSHOT, Bed.ready("p"), Bed.ready("r2"));
        for (int i = 0; i < 40; i++) {
            bed.request(10 + i, Bed.ANY);
        }
        assertTrue(bed.sends.stream()
                .allMatch(s -> s.host().equals("r2") || s.host().equals("p")));
    }

    @Test
    void coldReplicaGetsAtMostItsRampedShare() {
        Bed bed = new Bed();
        bed.routers = 4;
        bed.start().group();
        bed.list(EndpointUpdateType.DELTA, new EndpointEntry("r1", false, "z", 0, EndpointState.SERVING, 1, bed.now));
        int cold = 0;
        int all = 0;
        for (int i = 0; i < 400; i++) {
            bed.now += 5 * MS;
            if (i % 4 == 0) {
                bed.router.onTimer(bed.now, "tick");
            }
            int before = bed.sends.size();
            bed.request(100 + i, Bed.ANY);
            if (bed.sends.size() > before) {
                all++;
                cold += bed.last().host().equals("r1") ? 1 : 0;
                Bed.Sent s = bed.last();
                bed.now += 1;
                bed.outcome(s, 0, AttemptOutcome.SUCCESS);
            }
        }
        assertTrue(all > 300, "sent " + all);
        assertTrue(cold < all * 0.15, "cold " + cold + " of " + all);
    }

    @Test
    void boundedReadComparesWithTheTimeOfEachSend() {
        Bed bed = new Bed().start().group();
        bed.request(1, Bed.BOUNDED);
        Bed.Sent first = bed.last();
        assertNotEquals("p", first.host());
        bed.now += 300 * MS;
        bed.outcome(first, 0, AttemptOutcome.OVERLOADED, ReplicationRole.UNKNOWN, Positions.UNKNOWN);
        bed.answerPolls(250 * MS);
        assertEquals(2, bed.sends.size());
        assertEquals("p", bed.last().host(), "no replica is known within the bound of the second send");
    }

    @Test
    void carriedTokenNeedsAReplicaPastIt() {
        Bed bed = new Bed().start().group();
        bed.now += 1_000 * MS;
        bed.request(1, Bed.SESSION, 1_200 * MS, 500 * MS);
        bed.answerPolls(700 * MS);
        assertEquals("p", bed.last().host());
        bed.request(2, Bed.SESSION, 1_200 * MS, 1_500 * MS);
        assertNotEquals("p", bed.last().host());
        bed.request(3, Bed.SESSION);
        assertNotEquals("p", bed.last().host());
    }

    @Test
    void rememberedTokenIsTheCommitOfTheSessionsLastWrite() {
        Bed bed = new Bed();
        bed.remembered = true;
        bed.start().group();
        bed.request(1, Bed.UNSAFE_WRITE);
        bed.now += 100 * MS;
        bed.outcome(bed.last(), 0, AttemptOutcome.SUCCESS, ReplicationRole.PRIMARY, bed.now);
        bed.request(2, Bed.SESSION);
        bed.answerPolls(50 * MS);
        assertEquals("p", bed.last().host());
        bed.poll("r3", bed.now, ReplicationRole.REPLICA);
        bed.request(3, Bed.SESSION);
        assertEquals("r3", bed.last().host());
    }

    @Test
    void freshRouterSendsTokenReadsOnlyWhereProven() {
        Bed bed = new Bed().start();
        bed.list(EndpointUpdateType.CACHED, Bed.ready("p"), Bed.ready("r1"));
        bed.request(1, Bed.SESSION, 1_200 * MS, 5_000 * MS);
        assertTrue(bed.sends.isEmpty());
        bed.poll("r1", bed.now - 100 * MS, ReplicationRole.REPLICA);
        assertEquals("r1", bed.last().host());
    }

    /** Guards against a cursor read on elsewhere, twice, or from stale data. */
    @Test
    void pinnedReadGoesToItsHostOnceOrNowhere() {
        Bed bed = new Bed().start().group();
        bed.router.onRequest(
                bed.now, new RoutingRequest(1, Bed.ANY, 0, "s", -1, false, 1000 * Bed.MS, Positions.UNKNOWN, "r2"));
        assertEquals("r2", bed.last().host());
        bed.outcome(bed.last(), 0, AttemptOutcome.CONNECTION_RESET);
        assertEquals(List.of(1L), bed.failed);
        bed.router.onRequest(
                bed.now, new RoutingRequest(2, Bed.SESSION, 0, "s", -1, false, 1000 * Bed.MS, -5000, "r2"));
        bed.pass(500 * Bed.MS);
        assertEquals(List.of(2L), bed.refused);
        assertEquals(1, bed.sends.size());
    }
}
