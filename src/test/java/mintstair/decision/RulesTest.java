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
    private static final long MS = RouterFixture.MS;

    @Test
    void everyWaitingRequestIsAnsweredOnceBeforeItsDeadline() {
        RouterFixture fixture = new RouterFixture().start();
        fixture.updateEndpoints(EndpointUpdateType.SNAPSHOT, RouterFixture.servingEntry("r1"));
        fixture.answerHealthCheck("r1", fixture.now - 5_000 * MS, ReplicationRole.REPLICA);
        fixture.sendRequest(1, RouterFixture.NON_IDEMPOTENT_WRITE, 800 * MS, Positions.UNKNOWN);
        fixture.sendRequest(2, RouterFixture.BOUNDED_READ, 800 * MS, Positions.UNKNOWN);
        fixture.advance(800 * MS);
        assertEquals(2, fixture.rejected.size() + fixture.failed.size());
        assertTrue(fixture.sentAttempts.isEmpty());
        fixture.advance(2_000 * MS);
        assertEquals(2, fixture.rejected.size() + fixture.failed.size());
    }

    @Test
    void nothingIsSentAfterTheFinalAnswer() {
        RouterFixture fixture = new RouterFixture().start().listReplicaSet();
        fixture.sendRequest(1, RouterFixture.EVENTUAL_READ);
        RouterFixture.SentAttempt first = fixture.lastAttempt();
        fixture.advance(2_000 * MS);
        int before = fixture.attemptsOf(1).size();
        fixture.endAttempt(first, 0, AttemptOutcome.SUCCESS);
        fixture.updateState("p", EndpointState.SERVING);
        fixture.advance(500 * MS);
        assertEquals(before, fixture.attemptsOf(1).size());
        assertTrue(fixture.rejected.isEmpty() && fixture.failed.isEmpty());
    }

    @Test
    void timeOutAtTheDeadlineIsAnsweredAtOnce() {
        RouterFixture fixture = new RouterFixture().start().listReplicaSet();
        fixture.sendRequest(1, RouterFixture.NON_IDEMPOTENT_WRITE, 500 * MS, Positions.UNKNOWN);
        fixture.now += 500 * MS;
        fixture.endAttempt(fixture.lastAttempt(), 0, AttemptOutcome.TIMEOUT);
        assertEquals(1, fixture.failed.size());
    }

    @Test
    void unsafeWriteIsNeverResentNorRefusedOnceItMayHaveRun() {
        for (AttemptOutcome e : new AttemptOutcome[] {
            AttemptOutcome.ERROR, AttemptOutcome.TIMEOUT, AttemptOutcome.CONNECTION_RESET, AttemptOutcome.CANCELLED
        }) {
            RouterFixture fixture = new RouterFixture().start().listReplicaSet();
            fixture.sendRequest(1, RouterFixture.NON_IDEMPOTENT_WRITE);
            fixture.now += 50 * MS;
            fixture.endAttempt(fixture.lastAttempt(), 0, e);
            assertEquals(1, fixture.sentAttempts.size(), e.name());
            assertEquals(java.util.List.of(1L), fixture.failed, e.name());
            assertTrue(fixture.rejected.isEmpty(), e.name());
        }
    }

    @Test
    void unsafeWriteThatNeverRanGoesOutAgain() {
        for (AttemptOutcome e : new AttemptOutcome[] {AttemptOutcome.OVERLOADED, AttemptOutcome.UNREACHABLE}) {
            RouterFixture fixture = new RouterFixture().start().listReplicaSet();
            fixture.sendRequest(1, RouterFixture.NON_IDEMPOTENT_WRITE);
            fixture.now += 20 * MS;
            fixture.endAttempt(fixture.lastAttempt(), 0, e);
            fixture.advance(100 * MS);
            assertEquals(2, fixture.sentAttempts.size(), e.name());
        }
    }

    @Test
    void writeRefusedByAReplicaWaitsForTheNewPrimary() {
        RouterFixture fixture = new RouterFixture().start().listReplicaSet();
        fixture.sendRequest(1, RouterFixture.NON_IDEMPOTENT_WRITE);
        fixture.now += 20 * MS;
        fixture.endAttempt(
                fixture.lastAttempt(), 0, AttemptOutcome.MISDIRECTED, ReplicationRole.REPLICA, Positions.UNKNOWN);
        assertEquals(1, fixture.sentAttempts.size());
        fixture.now += 500 * MS;
        fixture.answerHealthCheck("r2", fixture.now, ReplicationRole.PRIMARY);
        assertEquals("r2", fixture.lastAttempt().host());
        assertEquals(2, fixture.sentAttempts.size());
    }

    @Test
    void keyedRepeatStaysInItsWindow() {
        RouterFixture fixture = new RouterFixture().start().listReplicaSet();
        fixture.sendRequest(1, RouterFixture.IDEMPOTENCY_KEY_WRITE);
        fixture.now += 400 * MS;
        fixture.endAttempt(fixture.lastAttempt(), 0, AttemptOutcome.ERROR);
        assertEquals(2, fixture.sentAttempts.size());
        fixture.now += 600 * MS;
        fixture.endAttempt(fixture.lastAttempt(), 1, AttemptOutcome.ERROR);
        assertEquals(2, fixture.sentAttempts.size());
        assertEquals(1, fixture.failed.size());
        assertTrue(fixture.rejected.isEmpty());
    }

    @Test
    void keyedRepeatThatWaitedPastItsWindowIsNotSent() {
        RouterFixture fixture = new RouterFixture().start().listReplicaSet();
        fixture.sendRequest(1, RouterFixture.IDEMPOTENCY_KEY_WRITE, 4_000 * MS, Positions.UNKNOWN);
        RouterFixture.SentAttempt first = fixture.lastAttempt();
        fixture.now += 100 * MS;
        fixture.endAttempt(first, 0, AttemptOutcome.ERROR, ReplicationRole.REPLICA, Positions.UNKNOWN);
        assertEquals(1, fixture.sentAttempts.size());
        fixture.now += 2_000 * MS;
        fixture.answerHealthCheck("r2", fixture.now, ReplicationRole.PRIMARY);
        fixture.advance(40 * MS);
        assertEquals(1, fixture.sentAttempts.size());
        assertEquals(1, fixture.failed.size());
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
        RouterFixture fixture = new RouterFixture();
        fixture.deadlineOverride = deadline;
        fixture.deduplicationWindowOverride = window;
        fixture.start().listReplicaSet();
        String what = deadline / MS + " ms, window " + window / MS + " ms, " + end;
        long began = fixture.now;
        for (int kind = 0; kind < 5; kind++) {
            fixture.sendRequest(kind, kind, deadline, Positions.UNKNOWN);
        }
        int[] told = new int[5];
        for (int ended = 0; fixture.now <= began + deadline + 5 * MS; ) {
            fixture.now += MS;
            for (;
                    ended < fixture.sentAttempts.size()
                            && fixture.now >= endOf(fixture.sentAttempts.get(ended), end, began + deadline);
                    ended++) {
                RouterFixture.SentAttempt sent = fixture.sentAttempts.get(ended);
                fixture.endAttempt(sent, told[(int) sent.requestId()]++, end);
            }
            fixture.router.onTimer(fixture.now, "tick");
        }
        List<Long> answers = new ArrayList<>(fixture.rejected);
        answers.addAll(fixture.failed);
        assertEquals(List.of(0L, 1L, 2L, 3L, 4L), answers.stream().sorted().toList(), what);
        assertTrue(
                fixture.sentAttempts.stream()
                        .allMatch(s -> s.sentAt() <= began + deadline && s.abandonAt() <= began + deadline),
                what + ": " + fixture.sentAttempts);
        if (end != AttemptOutcome.OVERLOADED) {
            assertTrue(fixture.attemptsOf(RouterFixture.NON_IDEMPOTENT_WRITE).size() <= 1, what);
            List<RouterFixture.SentAttempt> keyed = fixture.attemptsOf(RouterFixture.IDEMPOTENCY_KEY_WRITE);
            assertTrue(keyed.stream().allMatch(s -> s.sentAt() <= keyed.get(0).sentAt() + window), what + ": " + keyed);
        }
    }

    /** An attempt that is not abandoned before is over with its request. */
    private static long endOf(RouterFixture.SentAttempt sent, AttemptOutcome end, long over) {
        return end != AttemptOutcome.TIMEOUT ? sent.sentAt() + 2 * MS : sent.abandonAt() > 0 ? sent.abandonAt() : over;
    }

    /**
     * It waits for its next attempt, for a second copy, or for a primary: whatever comes then, nothing begins for it.
     */
    @Test
    void nothingBeginsForAClientThatHasGone() {
        RouterFixture fixture = new RouterFixture().start().listReplicaSet();
        fixture.sendRequest(1, RouterFixture.EVENTUAL_READ);
        RouterFixture.SentAttempt first = fixture.lastAttempt();
        fixture.sendRequest(2, RouterFixture.EVENTUAL_READ);
        fixture.now += 5 * MS;
        fixture.endAttempt(fixture.lastAttempt(), 0, AttemptOutcome.OVERLOADED);
        fixture.updateState("p", EndpointState.REMOVED);
        fixture.sendRequest(3, RouterFixture.NON_IDEMPOTENT_WRITE);
        assertTrue(fixture.attemptsOf(3).isEmpty(), "there is no primary");
        int before = fixture.sentAttempts.size();
        for (long id = 1; id <= 3; id++) {
            fixture.router.onClientDisconnected(fixture.now, id);
        }
        fixture.advance(300 * MS);
        fixture.endAttempt(first, 0, AttemptOutcome.ERROR);
        fixture.answerHealthCheck("r1", fixture.now, ReplicationRole.PRIMARY);
        fixture.advance(1_000 * MS);
        assertEquals(before, fixture.sentAttempts.size());
        assertTrue(fixture.rejected.isEmpty() && fixture.failed.isEmpty(), "nobody is there to be told");
    }

    @Test
    void noSecondCopyWhereNoneIsAllowed() {
        RouterFixture fixture = new RouterFixture();
        fixture.hedging = false;
        fixture.start().listReplicaSet();
        fixture.sendRequest(1, RouterFixture.BOUNDED_READ);
        for (int i = 0; i < 40; i++) {
            fixture.advance(20 * MS);
            fixture.answerHealthCheck("r1", fixture.now, ReplicationRole.REPLICA);
            fixture.answerHealthCheck("r2", fixture.now, ReplicationRole.REPLICA);
        }
        assertEquals(1, fixture.attemptsOf(1).size());
    }

    @Test
    void drainingHostsGetNothingMoreEvenForThoseWhoWait() {
        RouterFixture fixture = new RouterFixture().start().listReplicaSet();
        fixture.updateState("p", EndpointState.DRAINING);
        fixture.updateState("r1", EndpointState.REMOVED);
        fixture.sendRequest(1, RouterFixture.NON_IDEMPOTENT_WRITE);
        for (int i = 0; i < 40; i++) {
            fixture.sendRequest(10 + i, RouterFixture.EVENTUAL_READ);
        }
        fixture.advance(400 * MS);
        assertTrue(fixture.sentAttempts.stream()
                .noneMatch(s -> s.host().equals("p") || s.host().equals("r1")));
        assertFalse(fixture.sentAttempts.isEmpty());
    }

    @Test
    void hostMissingFromAWholeListIsGone() {
        RouterFixture fixture = new RouterFixture().start().listReplicaSet();
        fixture.updateEndpoints(
                EndpointUpdateType.SNAPSHOT, RouterFixture.servingEntry("p"), RouterFixture.servingEntry("r2"));
        for (int i = 0; i < 40; i++) {
            fixture.sendRequest(10 + i, RouterFixture.EVENTUAL_READ);
        }
        assertTrue(fixture.sentAttempts.stream()
                .allMatch(s -> s.host().equals("r2") || s.host().equals("p")));
    }

    @Test
    void coldReplicaGetsAtMostItsRampedShare() {
        RouterFixture fixture = new RouterFixture();
        fixture.fleetSize = 4;
        fixture.start().listReplicaSet();
        fixture.updateEndpoints(
                EndpointUpdateType.DELTA,
                new EndpointEntry("r1", false, "z", 0, EndpointState.SERVING, 1, fixture.now));
        int cold = 0;
        int all = 0;
        for (int i = 0; i < 400; i++) {
            fixture.now += 5 * MS;
            if (i % 4 == 0) {
                fixture.router.onTimer(fixture.now, "tick");
            }
            int before = fixture.sentAttempts.size();
            fixture.sendRequest(100 + i, RouterFixture.EVENTUAL_READ);
            if (fixture.sentAttempts.size() > before) {
                all++;
                cold += fixture.lastAttempt().host().equals("r1") ? 1 : 0;
                RouterFixture.SentAttempt s = fixture.lastAttempt();
                fixture.now += 1;
                fixture.endAttempt(s, 0, AttemptOutcome.SUCCESS);
            }
        }
        assertTrue(all > 300, "sent " + all);
        assertTrue(cold < all * 0.15, "cold " + cold + " of " + all);
    }

    @Test
    void boundedReadComparesWithTheTimeOfEachSend() {
        RouterFixture fixture = new RouterFixture().start().listReplicaSet();
        fixture.sendRequest(1, RouterFixture.BOUNDED_READ);
        RouterFixture.SentAttempt first = fixture.lastAttempt();
        assertNotEquals("p", first.host());
        fixture.now += 300 * MS;
        fixture.endAttempt(first, 0, AttemptOutcome.OVERLOADED, ReplicationRole.UNKNOWN, Positions.UNKNOWN);
        fixture.answerHealthChecks(250 * MS);
        assertEquals(2, fixture.sentAttempts.size());
        assertEquals("p", fixture.lastAttempt().host(), "no replica is known within the bound of the second send");
    }

    @Test
    void carriedTokenNeedsAReplicaPastIt() {
        RouterFixture fixture = new RouterFixture().start().listReplicaSet();
        fixture.now += 1_000 * MS;
        fixture.sendRequest(1, RouterFixture.SESSION_READ, 1_200 * MS, 500 * MS);
        fixture.answerHealthChecks(700 * MS);
        assertEquals("p", fixture.lastAttempt().host());
        fixture.sendRequest(2, RouterFixture.SESSION_READ, 1_200 * MS, 1_500 * MS);
        assertNotEquals("p", fixture.lastAttempt().host());
        fixture.sendRequest(3, RouterFixture.SESSION_READ);
        assertNotEquals("p", fixture.lastAttempt().host());
    }

    @Test
    void rememberedTokenIsTheCommitOfTheSessionsLastWrite() {
        RouterFixture fixture = new RouterFixture();
        fixture.remembersSessionTokens = true;
        fixture.start().listReplicaSet();
        fixture.sendRequest(1, RouterFixture.NON_IDEMPOTENT_WRITE);
        fixture.now += 100 * MS;
        fixture.endAttempt(fixture.lastAttempt(), 0, AttemptOutcome.SUCCESS, ReplicationRole.PRIMARY, fixture.now);
        fixture.sendRequest(2, RouterFixture.SESSION_READ);
        fixture.answerHealthChecks(50 * MS);
        assertEquals("p", fixture.lastAttempt().host());
        fixture.answerHealthCheck("r3", fixture.now, ReplicationRole.REPLICA);
        fixture.sendRequest(3, RouterFixture.SESSION_READ);
        assertEquals("r3", fixture.lastAttempt().host());
    }

    @Test
    void freshRouterSendsTokenReadsOnlyWhereProven() {
        RouterFixture fixture = new RouterFixture().start();
        fixture.updateEndpoints(
                EndpointUpdateType.CACHED, RouterFixture.servingEntry("p"), RouterFixture.servingEntry("r1"));
        fixture.sendRequest(1, RouterFixture.SESSION_READ, 1_200 * MS, 5_000 * MS);
        assertTrue(fixture.sentAttempts.isEmpty());
        fixture.answerHealthCheck("r1", fixture.now - 100 * MS, ReplicationRole.REPLICA);
        assertEquals("r1", fixture.lastAttempt().host());
    }

    /** Guards against a cursor read on elsewhere, twice, or from stale data. */
    @Test
    void pinnedReadGoesToItsHostOnceOrNowhere() {
        RouterFixture fixture = new RouterFixture().start().listReplicaSet();
        fixture.router.onRequest(
                fixture.now,
                new RoutingRequest(
                        1,
                        RouterFixture.EVENTUAL_READ,
                        0,
                        "s",
                        -1,
                        false,
                        1000 * RouterFixture.MS,
                        Positions.UNKNOWN,
                        "r2"));
        assertEquals("r2", fixture.lastAttempt().host());
        fixture.endAttempt(fixture.lastAttempt(), 0, AttemptOutcome.CONNECTION_RESET);
        assertEquals(List.of(1L), fixture.failed);
        fixture.router.onRequest(
                fixture.now,
                new RoutingRequest(
                        2, RouterFixture.SESSION_READ, 0, "s", -1, false, 1000 * RouterFixture.MS, -5000, "r2"));
        fixture.advance(500 * RouterFixture.MS);
        assertEquals(List.of(2L), fixture.rejected);
        assertEquals(1, fixture.sentAttempts.size());
    }
}
