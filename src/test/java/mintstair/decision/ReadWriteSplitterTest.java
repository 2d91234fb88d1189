package mintstair.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import mintstair.request.ReplicationRole;
import org.junit.jupiter.api.Test;

/**
 * Tests how the router handles lost and slow hosts, lost health checks, failed list calls and unexpected events, and
 * the limits on the size of the module's source files.
 */
class ReadWriteSplitterTest {
    private static final long MS = RouterFixture.MS;
    private static final int MAX_LINES = 400;
    private static final int MAX_COLUMNS = 140;

    @Test
    void readsAreSpreadEvenlyOverReplicas() {
        RouterFixture fixture = new RouterFixture().start().listReplicaSet();
        for (int i = 0; i < 300; i++) {
            fixture.sendRequest(i, RouterFixture.EVENTUAL_READ);
            fixture.advance(60 * MS);
            fixture.endAttempt(fixture.lastAttempt(), 0, AttemptOutcome.SUCCESS);
        }
        for (String replica : List.of("r1", "r2", "r3")) {
            long count = fixture.sentAttempts.stream()
                    .filter(sent -> sent.host().equals(replica))
                    .count();
            assertTrue(count > 70 && count < 130, replica + " received " + count + " of 300 reads");
        }
    }

    @Test
    void newestReportDecidesWhichHostIsPrimaryInWhateverOrderReportsArrive() {
        RouterFixture fixture = new RouterFixture().start().listReplicaSet();
        fixture.now += 1_000 * MS;
        fixture.answerHealthCheck("r1", fixture.now, ReplicationRole.PRIMARY);
        fixture.answerHealthCheck("p", fixture.now - 900 * MS, ReplicationRole.PRIMARY);
        fixture.sendRequest(1, RouterFixture.NON_IDEMPOTENT_WRITE);
        assertEquals("r1", fixture.lastAttempt().host());
    }

    @Test
    void unresponsivePrimaryReceivesNoNonIdempotentWrites() {
        RouterFixture fixture = new RouterFixture().start().listReplicaSet();
        for (int i = 0; i < 6; i++) {
            fixture.sendRequest(i, RouterFixture.NON_IDEMPOTENT_WRITE);
        }
        int before = fixture.sentAttempts.size();
        fixture.advance(2_000 * MS);
        fixture.sendRequest(50, RouterFixture.NON_IDEMPOTENT_WRITE);
        assertEquals(before, fixture.sentAttempts.size());
        assertTrue(
                fixture.logLines.stream().anyMatch(line -> line.startsWith("unresponsive p (primary)")),
                fixture.logLines.toString());
        fixture.answerHealthCheck("r1", fixture.now, ReplicationRole.PRIMARY);
        assertEquals(50, fixture.lastAttempt().requestId());
        assertEquals("r1", fixture.lastAttempt().host());
    }

    @Test
    void readStuckAtAnUnresponsiveReplicaIsSentToAnotherHost() {
        RouterFixture fixture = new RouterFixture().start().listReplicaSet();
        fixture.sendRequest(1, RouterFixture.EVENTUAL_READ);
        String first = fixture.lastAttempt().host();
        fixture.advance(900 * MS);
        assertTrue(fixture.attemptsOf(1).size() >= 2);
        assertNotEquals(first, fixture.attemptsOf(1).get(1).host());
    }

    @Test
    void misdirectedBoundedReadIsSentToAnotherHostWhereReplicasRejectStaleReads() {
        RouterFixture fixture = new RouterFixture();
        fixture.replicaReadCheck = ReplicaReadCheck.REJECT;
        fixture.start().listReplicaSet();
        fixture.now += 250 * MS;
        fixture.sendRequest(1, RouterFixture.BOUNDED_READ);
        assertNotEquals("p", fixture.lastAttempt().host());
        fixture.endAttempt(
                fixture.lastAttempt(), 0, AttemptOutcome.MISDIRECTED, ReplicationRole.REPLICA, Positions.UNKNOWN);
        assertEquals(2, fixture.sentAttempts.size());
        assertNotEquals(
                fixture.sentAttempts.get(0).host(), fixture.sentAttempts.get(1).host());
    }

    @Test
    void failedSubscriptionIsRetriedWithBackoff() {
        RouterFixture fixture = new RouterFixture().start().listReplicaSet();
        assertEquals(1, fixture.subscriptions);
        fixture.trace.setLength(0);
        fixture.updateEndpoints(EndpointUpdateType.FAILED);
        fixture.updateEndpoints(EndpointUpdateType.FAILED);
        fixture.updateEndpoints(EndpointUpdateType.FAILED);
        long[] waits = fixture.trace
                .toString()
                .lines()
                .filter(line -> line.startsWith("timer subscribe"))
                .mapToLong(line -> Long.parseLong(line.split(" ")[2]))
                .toArray();
        assertEquals(3, waits.length);
        assertTrue(waits[0] >= 500 * MS && waits[2] >= 2_000 * MS);
        fixture.router.onTimer(fixture.now, "subscribe");
        assertEquals(2, fixture.subscriptions);
        fixture.sendRequest(1, RouterFixture.EVENTUAL_READ);
        assertEquals(1, fixture.sentAttempts.size());
    }

    @Test
    void sameSeedAndEventsGiveTheSameActions() {
        assertEquals(traceOfMixedRequests(), traceOfMixedRequests());
    }

    private static String traceOfMixedRequests() {
        RouterFixture fixture = new RouterFixture().start().listReplicaSet();
        for (int i = 0; i < 200; i++) {
            fixture.sendRequest(i, i % 5);
            fixture.advance(20 * MS);
            if (i % 3 == 0) {
                fixture.endAttempt(
                        fixture.lastAttempt(),
                        fixture.attemptsOf(fixture.lastAttempt().requestId()).size() - 1,
                        AttemptOutcome.SUCCESS);
            }
        }
        return fixture.trace.toString();
    }

    @Test
    void unreachableHostReceivesFewTrialRequests() {
        RouterFixture fixture = new RouterFixture().start().listReplicaSet();
        fixture.now += 500 * MS;
        for (int i = 0; i < 20 && fixture.logLines.stream().noneMatch(line -> line.startsWith("unresponsive")); i++) {
            fixture.sendRequest(1_000 + i, RouterFixture.EVENTUAL_READ);
            fixture.answerHealthChecksExcept("r1");
            fixture.now += 100 * MS;
            if (!fixture.attemptsOf(1_000 + i).isEmpty()) {
                fixture.endAttempt(
                        fixture.lastAttempt(),
                        0,
                        fixture.lastAttempt().host().equals("r1")
                                ? AttemptOutcome.UNREACHABLE
                                : AttemptOutcome.SUCCESS);
            }
        }
        assertTrue(fixture.logLines.contains("unresponsive r1: unreachable"), fixture.logLines.toString());
        fixture.sentAttempts.clear();
        for (int i = 0; i < 200; i++) {
            fixture.sendRequest(i, RouterFixture.EVENTUAL_READ);
            fixture.answerHealthChecksExcept("r1");
            fixture.now += 40 * MS;
            boolean lost = fixture.lastAttempt().host().equals("r1");
            if (!fixture.attemptsOf(i).isEmpty()) {
                fixture.endAttempt(
                        fixture.lastAttempt(), 0, lost ? AttemptOutcome.UNREACHABLE : AttemptOutcome.SUCCESS);
            }
        }
        assertTrue(fixture.sentAttempts.size() >= 195, "sent " + fixture.sentAttempts.size() + " of 200 requests");
        assertTrue(fixture.sentAttempts.stream()
                        .filter(sent -> sent.host().equals("r1"))
                        .count()
                < 10);
        fixture.router.onHealthCheckEnded(
                fixture.now,
                "r1",
                AttemptOutcome.SUCCESS,
                MS,
                new ReplicationStatus(fixture.now, ReplicationRole.REPLICA));
        assertTrue(
                fixture.logLines.contains("slow start r1: capacity grows from its start on"),
                fixture.logLines.toString());
    }

    @Test
    void endOfASlowStartIsLoggedWithTheCountsOfAttemptsAndHeldBackRequests() {
        RouterFixture fixture = new RouterFixture();
        fixture.hasSharedSession = false;
        fixture.start().listReplicaSet();
        fixture.updateEndpoints(
                EndpointUpdateType.DELTA, new EndpointEntry("p", false, "z", 0, EndpointState.SERVING, 1, fixture.now));
        for (int i = 0; i < 20; i++) {
            fixture.sendRequest(i, RouterFixture.NON_IDEMPOTENT_WRITE);
        }
        fixture.advance(1_000 * MS);
        assertTrue(
                fixture.logLines.stream().noneMatch(line -> line.contains(": over after")),
                fixture.logLines.toString());
        fixture.advance(9_100 * MS);
        String line = fixture.logLines.stream()
                .filter(logged -> logged.startsWith("slow start p: over after 10.0 s, "))
                .findFirst()
                .orElseThrow(() -> new AssertionError(fixture.logLines.toString()));
        String counts = fixture.sentAttempts.size() + " attempts sent, ([1-9]|1[0-9]) requests held back";
        assertTrue(line.matches(".* s, " + counts), line);
    }

    @Test
    void failedConnectsMakeAHostUnresponsiveWithoutHealthChecks() {
        RouterFixture fixture = new RouterFixture().start().listReplicaSet();
        for (int i = 0; i < 40 && fixture.logLines.stream().noneMatch(line -> line.startsWith("unresponsive")); i++) {
            fixture.sendRequest(i, RouterFixture.EVENTUAL_READ);
            fixture.now += 10 * MS;
            fixture.endAttempt(
                    fixture.lastAttempt(),
                    fixture.attemptsOf(fixture.lastAttempt().requestId()).size() - 1,
                    fixture.lastAttempt().host().equals("r2") ? AttemptOutcome.UNREACHABLE : AttemptOutcome.SUCCESS);
            // A health check that could not be sent is no sign of life.
            fixture.router.onHealthCheckEnded(fixture.now, "r2", AttemptOutcome.NOT_SENT, 0, null);
        }
        assertTrue(fixture.logLines.contains("unresponsive r2: unreachable"), fixture.logLines.toString());
    }

    /** Guards against a host that is taken for restarted, and put into slow start, because connections to it break. */
    @Test
    void hostWhoseHealthChecksAreResetStaysInUse() {
        RouterFixture fixture = new RouterFixture().start().listReplicaSet();
        for (int i = 0; i < 5; i++) {
            fixture.now += 100 * MS;
            fixture.router.onHealthCheckEnded(fixture.now, "r1", AttemptOutcome.CONNECTION_RESET, MS, null);
        }
        fixture.answerHealthCheck("r1", fixture.now, ReplicationRole.REPLICA);
        assertTrue(fixture.logLines.stream().noneMatch(line -> line.contains("r1")), fixture.logLines.toString());
    }

    /** Guards against memory that grows, and polls that become rarer, with every host that was ever removed. */
    @Test
    void removedHostsAreForgottenAfterAWhile() {
        RouterFixture fixture = new RouterFixture().start().listReplicaSet();
        for (int i = 0; i < 50; i++) {
            fixture.updateEndpoints(EndpointUpdateType.DELTA, RouterFixture.servingEntry("new" + i));
            fixture.answerHealthCheck("new" + i, fixture.now, ReplicationRole.REPLICA);
            fixture.updateState("new" + i, EndpointState.REMOVED);
        }
        fixture.now += 11_000 * MS;
        fixture.updateState("r1", EndpointState.SERVING);
        fixture.logLines.clear();
        fixture.router.onHealthCheckEnded(fixture.now, "new7", AttemptOutcome.UNREACHABLE, MS, null);
        fixture.router.onHealthCheckEnded(fixture.now, "new7", AttemptOutcome.UNREACHABLE, MS, null);
        assertTrue(fixture.logLines.isEmpty(), "a removed host is still tracked");
    }

    /** Guards against rejections so late that the client has no time to retry a request that was never sent. */
    @Test
    void unsentRequestIsRejectedWithinHalfOfItsTimeout() {
        RouterFixture fixture = new RouterFixture().start();
        fixture.updateEndpoints(EndpointUpdateType.SNAPSHOT, RouterFixture.servingEntry("r1"));
        fixture.sendRequest(1, RouterFixture.NON_IDEMPOTENT_WRITE, 1000 * MS, Positions.UNKNOWN);
        fixture.advance(500 * MS);
        assertEquals(List.of(1L), fixture.rejected);
    }

    @Test
    void retryAfterIsWithinTheLatencyObjectiveOrElseTheMaximum() {
        RouterFixture fixture = new RouterFixture().start().listReplicaSet();
        fixture.updateEndpoints(EndpointUpdateType.SNAPSHOT);
        fixture.sendRequest(1, RouterFixture.EVENTUAL_READ);
        fixture.advance(120 * MS);
        assertEquals(List.of(75 * MS), fixture.retryAfters);
        RouterFixture lateFixture = new RouterFixture().start().listReplicaSet();
        lateFixture.sendRequest(1, RouterFixture.EVENTUAL_READ);
        lateFixture.now += 250 * MS;
        lateFixture.endAttempt(
                lateFixture.lastAttempt(), 0, AttemptOutcome.TIMEOUT, ReplicationRole.UNKNOWN, Positions.UNKNOWN);
        assertEquals(List.of(500 * MS), lateFixture.retryAfters);
    }

    /** Guards against reads that are rejected until some write causes a search for the new primary. */
    @Test
    void readSearchesForAPrimaryWhileTheOldOneDrains() {
        RouterFixture fixture = new RouterFixture().start().listReplicaSet();
        fixture.now += 400 * MS;
        for (String replica : List.of("r1", "r2", "r3")) {
            fixture.answerHealthCheck(replica, fixture.now - 5_000 * MS, ReplicationRole.REPLICA);
        }
        fixture.updateState("p", EndpointState.DRAINING);
        fixture.healthChecks.clear();
        fixture.sendRequest(1, RouterFixture.BOUNDED_READ);
        assertTrue(fixture.healthChecks.containsAll(List.of("r1", "r2", "r3")), fixture.healthChecks.toString());
        fixture.answerHealthCheck("r2", fixture.now, ReplicationRole.PRIMARY);
        assertEquals("r2", fixture.lastAttempt().host());
    }

    /** Guards against a read that is retried at a failing primary without a poll of the replicas. */
    @Test
    void readThatFailedAtThePrimaryIsSentToAReplicaAfterAPoll() {
        RouterFixture fixture = new RouterFixture().start().listReplicaSet();
        fixture.now += 400 * MS;
        fixture.sendRequest(1, RouterFixture.BOUNDED_READ);
        for (int i = 0; i < 20 && fixture.sentAttempts.isEmpty(); i++) {
            fixture.answerHealthChecks(300 * MS);
            fixture.advance(5 * MS);
        }
        assertEquals("p", fixture.lastAttempt().host());
        fixture.answerHealthChecks(300 * MS);
        fixture.now += 40 * MS;
        int healthChecks = fixture.healthChecks.size();
        fixture.endAttempt(fixture.lastAttempt(), 0, AttemptOutcome.ERROR);
        assertTrue(fixture.healthChecks.size() > healthChecks);
        assertEquals(1, fixture.sentAttempts.size());
        fixture.answerHealthChecks(10 * MS);
        assertFalse(fixture.lastAttempt().host().equals("p"));
    }

    /**
     * Returns how many of 50 routers send a read at once to the primary of replica set 0, which has answered no request
     * yet, after the primary of replica set 1 has answered 60 requests with this latency.
     */
    private static int readsSentToUnusedPrimary(long latency) {
        int sent = 0;
        for (int seed = 0; seed < 50; seed++) {
            RouterFixture fixture = new RouterFixture();
            fixture.seed = seed;
            fixture.hasSharedSession = false;
            fixture.fleetSize = 14;
            fixture.start();
            listTwoReplicaSetsWithStaleReplicas(fixture);
            for (int i = 0; i < 60; i++) {
                fixture.router.onRequest(fixture.now, sessionRead(i, 1, "s" + i));
                fixture.now += latency;
                if (!fixture.sentAttempts.isEmpty() && fixture.lastAttempt().requestId() == i) {
                    fixture.router.onAttemptEnded(
                            fixture.now,
                            new AttemptResult(
                                    i,
                                    0,
                                    "p1",
                                    AttemptOutcome.SUCCESS,
                                    latency,
                                    true,
                                    ReplicationRole.PRIMARY,
                                    fixture.now,
                                    fixture.now));
                }
            }
            fixture.router.onRequest(fixture.now, sessionRead(99, 0, "of " + seed));
            sent += fixture.lastAttempt().requestId() == 99 ? 1 : 0;
        }
        return sent;
    }

    /** Lists two replica sets, each with a primary and with replicas that are 9 s behind it. */
    private static void listTwoReplicaSetsWithStaleReplicas(RouterFixture fixture) {
        List<EndpointEntry> entries = new ArrayList<>();
        for (int group = 0; group < 2; group++) {
            for (String host : List.of("p", "r1", "r2", "r3")) {
                entries.add(new EndpointEntry(host + group, false, "z", group, EndpointState.SERVING, 1, 0));
            }
        }
        fixture.updateEndpoints(EndpointUpdateType.SNAPSHOT, entries.toArray(EndpointEntry[]::new));
        for (EndpointEntry entry : entries) {
            boolean primary = entry.host().startsWith("p");
            fixture.answerHealthCheck(
                    entry.host(),
                    fixture.now - (primary ? 0 : 9_000 * MS),
                    primary ? ReplicationRole.PRIMARY : ReplicationRole.REPLICA);
        }
    }

    private static RoutingRequest sessionRead(long id, int group, String session) {
        return new RoutingRequest(id, RouterFixture.SESSION_READ, group, session, 0, false, 1200 * MS, 5 * MS);
    }

    /**
     * Guards against rejections by each of many routers, none of which has enough replies of one primary to send it
     * the reads that fall back from replicas.
     */
    @Test
    void fastRepliesOfOnePrimaryAdmitMoreFallbackReadsAtAnUnusedOne() {
        int afterFastReplies = readsSentToUnusedPrimary(20 * MS);
        int afterSlowReplies = readsSentToUnusedPrimary(350 * MS);
        assertTrue(afterFastReplies >= 20, afterFastReplies + " of 50 sent after fast replies");
        assertTrue(afterSlowReplies <= 16, afterSlowReplies + " of 50 sent after slow replies");
    }

    @Test
    void clockThatGoesBackwardsIsTreatedAsStopped() {
        RouterFixture fixture = new RouterFixture().start().listReplicaSet();
        fixture.router.onTimer(fixture.now + 1_000 * MS, "tick");
        fixture.now -= 500 * MS;
        fixture.sendRequest(1, RouterFixture.BOUNDED_READ);
        assertEquals(
                List.of("p"),
                fixture.sentAttempts.stream()
                        .map(RouterFixture.SentAttempt::host)
                        .toList(),
                "replicas reported their position 1 s before the latest time");
    }

    @Test
    void slowPrimaryWhoseReplicasAdvanceIsNotUnresponsive() {
        RouterFixture fixture = new RouterFixture().start().listReplicaSet();
        for (int i = 0; i < 6; i++) {
            fixture.sendRequest(i, RouterFixture.NON_IDEMPOTENT_WRITE);
        }
        for (int i = 0; i < 20; i++) {
            fixture.advance(100 * MS);
            fixture.answerHealthCheck("r1", fixture.now - 10 * MS, ReplicationRole.REPLICA);
        }
        assertTrue(
                fixture.logLines.stream().noneMatch(line -> line.startsWith("unresponsive p")),
                fixture.logLines.toString());
        fixture.sendRequest(50, RouterFixture.NON_IDEMPOTENT_WRITE);
        assertEquals("p", fixture.lastAttempt().host());
    }

    @Test
    void singleLongRequestDoesNotMakeAHostUnresponsive() {
        RouterFixture fixture = new RouterFixture().start().listReplicaSet();
        fixture.sendRequest(1, RouterFixture.NON_IDEMPOTENT_WRITE);
        fixture.advance(2_500 * MS);
        assertTrue(
                fixture.logLines.stream().noneMatch(line -> line.startsWith("unresponsive")),
                fixture.logLines.toString());
    }

    @Test
    void sessionReadIsSentToAPossiblyStaleReplicaOnlyOnceThePrimaryIsFull() {
        RouterFixture fixture = new RouterFixture();
        fixture.replicaReadCheck = ReplicaReadCheck.REJECT;
        fixture.start().listReplicaSet();
        fixture.now += 100 * MS;
        for (int i = 0; i < 30; i++) {
            fixture.sendRequest(i, RouterFixture.SESSION_READ, 1_200 * MS, 50 * MS);
        }
        assertEquals("p", fixture.sentAttempts.get(0).host());
        assertEquals("p", fixture.sentAttempts.get(1).host());
        assertNotEquals("p", fixture.lastAttempt().host());
    }

    @Test
    void eventsForUnknownRequestsHostsAndTimersAreIgnored() {
        RouterFixture fixture = new RouterFixture().start().listReplicaSet();
        fixture.router.onClientDisconnected(fixture.now, 99);
        fixture.router.onTimer(fixture.now, "unknown");
        fixture.router.onHealthCheckEnded(fixture.now, "unlisted", AttemptOutcome.SUCCESS, 1, null);
        fixture.router.onAttemptEnded(
                fixture.now,
                new AttemptResult(99, 0, "p", AttemptOutcome.SUCCESS, 1, true, ReplicationRole.PRIMARY, 0, 0));
        fixture.sendRequest(1, RouterFixture.EVENTUAL_READ);
        fixture.router.onClientDisconnected(fixture.now, 1);
        fixture.endAttempt(fixture.lastAttempt(), 0, AttemptOutcome.TIMEOUT);
        assertEquals(1, fixture.sentAttempts.size());
        assertTrue(fixture.failed.isEmpty() && fixture.rejected.isEmpty());
    }

    @Test
    void invalidSettingsAreRejectedWithTheNameOfTheSetting() {
        RouterFixture withoutRouters = new RouterFixture();
        withoutRouters.fleetSize = 0;
        assertTrue(assertThrows(IllegalArgumentException.class, withoutRouters::start)
                .getMessage()
                .contains("balancers must be at least 1"));
        RouterFixture withoutAttempts = new RouterFixture();
        withoutAttempts.maxAttempts = 0;
        assertTrue(assertThrows(IllegalArgumentException.class, withoutAttempts::start)
                .getMessage()
                .contains("maxAttempts"));
    }

    /** Keeps each source file short enough to be reviewed in one session. */
    @Test
    void sourceFilesOfTheModuleStayWithinTheirSizeLimits() throws IOException {
        try (Stream<Path> files = Files.list(Path.of("src/main/java/mintstair/decision"))) {
            for (Path file : files.toList()) {
                List<String> lines = Files.readAllLines(file);
                assertTrue(lines.size() <= MAX_LINES, file + " has " + lines.size() + " lines");
                assertTrue(
                        lines.stream().allMatch(line -> line.length() <= MAX_COLUMNS),
                        file + " has a line of more than " + MAX_COLUMNS + " characters");
            }
        }
    }
}
