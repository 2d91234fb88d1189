package mintstair.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import mintstair.request.ReplicationRole;
import org.junit.jupiter.api.Test;

/**
 * Tests the guarantees of the router: one final answer before the deadline, no repeated effect, nothing for draining
 * hosts, a bounded slow start and reads that are recent enough.
 */
class RouterInvariantsTest {
    private static final long MS = RouterFixture.MS;

    @Test
    void waitingRequestIsAnsweredOnceBeforeItsDeadline() {
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
    void requestWhoseAttemptTimesOutAtTheDeadlineFailsAtOnce() {
        RouterFixture fixture = new RouterFixture().start().listReplicaSet();
        fixture.sendRequest(1, RouterFixture.NON_IDEMPOTENT_WRITE, 500 * MS, Positions.UNKNOWN);
        fixture.now += 500 * MS;
        fixture.endAttempt(fixture.lastAttempt(), 0, AttemptOutcome.TIMEOUT);
        assertEquals(1, fixture.failed.size());
    }

    @Test
    void nonIdempotentWriteIsNeitherResentNorRejectedOnceItMayHaveRun() {
        for (AttemptOutcome outcome : new AttemptOutcome[] {
            AttemptOutcome.ERROR, AttemptOutcome.TIMEOUT, AttemptOutcome.CONNECTION_RESET, AttemptOutcome.CANCELLED
        }) {
            RouterFixture fixture = new RouterFixture().start().listReplicaSet();
            fixture.sendRequest(1, RouterFixture.NON_IDEMPOTENT_WRITE);
            fixture.now += 50 * MS;
            fixture.endAttempt(fixture.lastAttempt(), 0, outcome);
            assertEquals(1, fixture.sentAttempts.size(), outcome.name());
            assertEquals(List.of(1L), fixture.failed, outcome.name());
            assertTrue(fixture.rejected.isEmpty(), outcome.name());
        }
    }

    @Test
    void nonIdempotentWriteThatDidNotRunIsResent() {
        for (AttemptOutcome outcome : new AttemptOutcome[] {AttemptOutcome.OVERLOADED, AttemptOutcome.UNREACHABLE}) {
            RouterFixture fixture = new RouterFixture().start().listReplicaSet();
            fixture.sendRequest(1, RouterFixture.NON_IDEMPOTENT_WRITE);
            fixture.now += 20 * MS;
            fixture.endAttempt(fixture.lastAttempt(), 0, outcome);
            fixture.advance(100 * MS);
            assertEquals(2, fixture.sentAttempts.size(), outcome.name());
        }
    }

    @Test
    void writeThatWasMisdirectedToAReplicaWaitsForTheNewPrimary() {
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
    void writeWithIdempotencyKeyIsResentOnlyWithinItsDeduplicationWindow() {
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
    void writeThatWaitedPastItsDeduplicationWindowIsNotResent() {
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
     * Guards against time arithmetic that fails at the shortest deadlines and deduplication windows that settings may
     * have: each request gets one answer in time, no attempt is sent after the deadline, no write is repeated after its
     * window, and a non-idempotent write is never repeated.
     */
    @Test
    void invariantsHoldForTheShortestDeadlinesAndWindows() {
        for (long deadline : new long[] {1, 5, 20, 60, 300}) {
            for (long window : new long[] {1, 5, 50}) {
                for (AttemptOutcome outcome : new AttemptOutcome[] {
                    AttemptOutcome.ERROR,
                    AttemptOutcome.CONNECTION_RESET,
                    AttemptOutcome.OVERLOADED,
                    AttemptOutcome.TIMEOUT
                }) {
                    checkInvariants(deadline * MS, window * MS, outcome);
                }
            }
        }
    }

    private static void checkInvariants(long deadline, long window, AttemptOutcome outcome) {
        RouterFixture fixture = new RouterFixture();
        fixture.deadlineOverride = deadline;
        fixture.deduplicationWindowOverride = window;
        fixture.start().listReplicaSet();
        String scenario = "deadline " + deadline / MS + " ms, window " + window / MS + " ms, " + outcome;
        long startedAt = fixture.now;
        for (int classIndex = 0; classIndex < 5; classIndex++) {
            fixture.sendRequest(classIndex, classIndex, deadline, Positions.UNKNOWN);
        }
        int[] endedAttempts = new int[5];
        for (int ended = 0; fixture.now <= startedAt + deadline + 5 * MS; ) {
            fixture.now += MS;
            for (;
                    ended < fixture.sentAttempts.size()
                            && fixture.now >= endOf(fixture.sentAttempts.get(ended), outcome, startedAt + deadline);
                    ended++) {
                RouterFixture.SentAttempt sent = fixture.sentAttempts.get(ended);
                fixture.endAttempt(sent, endedAttempts[(int) sent.requestId()]++, outcome);
            }
            fixture.router.onTimer(fixture.now, "tick");
        }
        List<Long> answers = new ArrayList<>(fixture.rejected);
        answers.addAll(fixture.failed);
        assertEquals(List.of(0L, 1L, 2L, 3L, 4L), answers.stream().sorted().toList(), scenario);
        assertTrue(
                fixture.sentAttempts.stream()
                        .allMatch(sent ->
                                sent.sentAt() <= startedAt + deadline && sent.abandonAt() <= startedAt + deadline),
                scenario + ": " + fixture.sentAttempts);
        if (outcome != AttemptOutcome.OVERLOADED) {
            assertTrue(fixture.attemptsOf(RouterFixture.NON_IDEMPOTENT_WRITE).size() <= 1, scenario);
            List<RouterFixture.SentAttempt> keyedAttempts = fixture.attemptsOf(RouterFixture.IDEMPOTENCY_KEY_WRITE);
            assertTrue(
                    keyedAttempts.stream()
                            .allMatch(sent ->
                                    sent.sentAt() <= keyedAttempts.get(0).sentAt() + window),
                    scenario + ": " + keyedAttempts);
        }
    }

    /** Returns when the attempt ends; one without a time-out of its own times out with its request. */
    private static long endOf(RouterFixture.SentAttempt sent, AttemptOutcome outcome, long requestEnd) {
        if (outcome != AttemptOutcome.TIMEOUT) {
            return sent.sentAt() + 2 * MS;
        }
        return sent.abandonAt() > 0 ? sent.abandonAt() : requestEnd;
    }

    /**
     * Guards against attempts for requests that wait for a hedged request, a retry or a primary when their clients
     * disconnect.
     */
    @Test
    void noAttemptIsSentForADisconnectedClient() {
        RouterFixture fixture = new RouterFixture().start().listReplicaSet();
        fixture.sendRequest(1, RouterFixture.EVENTUAL_READ);
        RouterFixture.SentAttempt first = fixture.lastAttempt();
        fixture.sendRequest(2, RouterFixture.EVENTUAL_READ);
        fixture.now += 5 * MS;
        fixture.endAttempt(fixture.lastAttempt(), 0, AttemptOutcome.OVERLOADED);
        fixture.updateState("p", EndpointState.REMOVED);
        fixture.sendRequest(3, RouterFixture.NON_IDEMPOTENT_WRITE);
        assertTrue(fixture.attemptsOf(3).isEmpty(), "a write was sent although no primary is known");
        int before = fixture.sentAttempts.size();
        for (long id = 1; id <= 3; id++) {
            fixture.router.onClientDisconnected(fixture.now, id);
        }
        fixture.advance(300 * MS);
        fixture.endAttempt(first, 0, AttemptOutcome.ERROR);
        fixture.answerHealthCheck("r1", fixture.now, ReplicationRole.PRIMARY);
        fixture.advance(1_000 * MS);
        assertEquals(before, fixture.sentAttempts.size());
        assertTrue(fixture.rejected.isEmpty() && fixture.failed.isEmpty(), "a disconnected client was answered");
    }

    @Test
    void requestIsNotHedgedWhereHedgingIsDisabled() {
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
    void drainingAndRemovedHostsReceiveNoAttempts() {
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
    void hostMissingFromASnapshotReceivesNoAttempts() {
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
    void replicaInSlowStartReceivesAtMostItsRampedShare() {
        RouterFixture fixture = new RouterFixture();
        fixture.fleetSize = 4;
        fixture.start().listReplicaSet();
        fixture.updateEndpoints(
                EndpointUpdateType.DELTA,
                new EndpointEntry("r1", false, "z", 0, EndpointState.SERVING, 1, fixture.now));
        int sentToStarted = 0;
        int sentToAll = 0;
        for (int i = 0; i < 400; i++) {
            fixture.now += 5 * MS;
            if (i % 4 == 0) {
                fixture.router.onTimer(fixture.now, "tick");
            }
            int before = fixture.sentAttempts.size();
            fixture.sendRequest(100 + i, RouterFixture.EVENTUAL_READ);
            if (fixture.sentAttempts.size() > before) {
                sentToAll++;
                sentToStarted += fixture.lastAttempt().host().equals("r1") ? 1 : 0;
                RouterFixture.SentAttempt sent = fixture.lastAttempt();
                fixture.now += 1;
                fixture.endAttempt(sent, 0, AttemptOutcome.SUCCESS);
            }
        }
        assertTrue(sentToAll > 300, "sent " + sentToAll + " of 400 requests");
        assertTrue(
                sentToStarted < sentToAll * 0.15,
                "sent " + sentToStarted + " of " + sentToAll + " to the host in slow start");
    }

    @Test
    void boundedStalenessCountsFromTheTimeOfEachAttempt() {
        RouterFixture fixture = new RouterFixture().start().listReplicaSet();
        fixture.sendRequest(1, RouterFixture.BOUNDED_READ);
        RouterFixture.SentAttempt first = fixture.lastAttempt();
        assertNotEquals("p", first.host());
        fixture.now += 300 * MS;
        fixture.endAttempt(first, 0, AttemptOutcome.OVERLOADED, ReplicationRole.UNKNOWN, Positions.UNKNOWN);
        fixture.answerHealthChecks(250 * MS);
        assertEquals(2, fixture.sentAttempts.size());
        assertEquals(
                "p", fixture.lastAttempt().host(), "no replica is known to be within the bound at the second attempt");
    }

    @Test
    void sessionReadIsSentOnlyToAHostPastItsSessionToken() {
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
    void rememberedSessionTokenIsThePositionOfTheLastWrite() {
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
    void restartedRouterSendsSessionReadsOnlyToHostsThatReportedTheirPosition() {
        RouterFixture fixture = new RouterFixture().start();
        fixture.updateEndpoints(
                EndpointUpdateType.CACHED, RouterFixture.servingEntry("p"), RouterFixture.servingEntry("r1"));
        fixture.sendRequest(1, RouterFixture.SESSION_READ, 1_200 * MS, 5_000 * MS);
        assertTrue(fixture.sentAttempts.isEmpty());
        fixture.answerHealthCheck("r1", fixture.now - 100 * MS, ReplicationRole.REPLICA);
        assertEquals("r1", fixture.lastAttempt().host());
    }

    /** Guards against a cursor that is continued at another host, twice, or on stale data. */
    @Test
    void stickyRequestIsSentOnceAndOnlyToItsHost() {
        RouterFixture fixture = new RouterFixture().start().listReplicaSet();
        fixture.router.onRequest(
                fixture.now,
                new RoutingRequest(
                        1, RouterFixture.EVENTUAL_READ, 0, "s", -1, false, 1000 * MS, Positions.UNKNOWN, "r2"));
        assertEquals("r2", fixture.lastAttempt().host());
        fixture.endAttempt(fixture.lastAttempt(), 0, AttemptOutcome.CONNECTION_RESET);
        assertEquals(List.of(1L), fixture.failed);
        fixture.router.onRequest(
                fixture.now,
                new RoutingRequest(2, RouterFixture.SESSION_READ, 0, "s", -1, false, 1000 * MS, -5000, "r2"));
        fixture.advance(500 * MS);
        assertEquals(List.of(2L), fixture.rejected);
        assertEquals(1, fixture.sentAttempts.size());
    }
}
