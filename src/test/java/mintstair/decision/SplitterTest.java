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

/** The departures from the ordinary path, and the module's own limits. */
class SplitterTest {
    private static final long MS = RouterFixture.MS;
    private static final int MAX_LINES = 400;
    private static final int MAX_COLUMNS = 140;

    @Test
    void readsSpreadAtRandomOverReplicas() {
        RouterFixture fixture = new RouterFixture().start().listReplicaSet();
        for (int i = 0; i < 300; i++) {
            fixture.sendRequest(i, RouterFixture.EVENTUAL_READ);
            fixture.advance(60 * MS);
            fixture.endAttempt(fixture.lastAttempt(), 0, AttemptOutcome.SUCCESS);
        }
        for (String r : List.of("r1", "r2", "r3")) {
            long n = fixture.sentAttempts.stream()
                    .filter(s -> s.host().equals(r))
                    .count();
            assertTrue(n > 70 && n < 130, r + " got " + n);
        }
    }

    @Test
    void newestEvidenceOfThePrimaryWinsWhateverItsOrder() {
        RouterFixture fixture = new RouterFixture().start().listReplicaSet();
        fixture.now += 1_000 * MS;
        fixture.answerHealthCheck("r1", fixture.now, ReplicationRole.PRIMARY);
        fixture.answerHealthCheck("p", fixture.now - 900 * MS, ReplicationRole.PRIMARY);
        fixture.sendRequest(1, RouterFixture.NON_IDEMPOTENT_WRITE);
        assertEquals("r1", fixture.lastAttempt().host());
    }

    @Test
    void silentPrimaryIsFedNoMoreUnsafeWrites() {
        RouterFixture fixture = new RouterFixture().start().listReplicaSet();
        for (int i = 0; i < 6; i++) {
            fixture.sendRequest(i, RouterFixture.NON_IDEMPOTENT_WRITE);
        }
        int before = fixture.sentAttempts.size();
        fixture.advance(2_000 * MS);
        fixture.sendRequest(50, RouterFixture.NON_IDEMPOTENT_WRITE);
        assertEquals(before, fixture.sentAttempts.size());
        assertTrue(
                fixture.logLines.stream().anyMatch(l -> l.startsWith("unresponsive p (primary)")),
                fixture.logLines.toString());
        fixture.answerHealthCheck("r1", fixture.now, ReplicationRole.PRIMARY);
        assertEquals(50, fixture.lastAttempt().requestId());
        assertEquals("r1", fixture.lastAttempt().host());
    }

    @Test
    void readStuckAtASilentReplicaIsServedElsewhere() {
        RouterFixture fixture = new RouterFixture().start().listReplicaSet();
        fixture.sendRequest(1, RouterFixture.EVENTUAL_READ);
        String first = fixture.lastAttempt().host();
        fixture.advance(900 * MS);
        assertTrue(fixture.attemptsOf(1).size() >= 2);
        assertNotEquals(first, fixture.attemptsOf(1).get(1).host());
    }

    @Test
    void whereReplicasCheckABoundedReadTriesTheLeastBehind() {
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
    void listOutOfReachIsAskedAgainLaterAndLater() {
        RouterFixture fixture = new RouterFixture().start().listReplicaSet();
        assertEquals(1, fixture.subscriptions);
        fixture.trace.setLength(0);
        fixture.updateEndpoints(EndpointUpdateType.FAILED);
        fixture.updateEndpoints(EndpointUpdateType.FAILED);
        fixture.updateEndpoints(EndpointUpdateType.FAILED);
        long[] waits = fixture.trace
                .toString()
                .lines()
                .filter(l -> l.startsWith("timer subscribe"))
                .mapToLong(l -> Long.parseLong(l.split(" ")[2]))
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
        assertEquals(script(), script());
    }

    private static String script() {
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
    void hostsOutOfReachGetNoTrialTraffic() {
        RouterFixture fixture = new RouterFixture().start().listReplicaSet();
        fixture.now += 500 * MS;
        for (int i = 0; i < 20 && fixture.logLines.stream().noneMatch(l -> l.startsWith("unresponsive")); i++) {
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
            if (!fixture.attemptsOf(i).isEmpty())
                fixture.endAttempt(
                        fixture.lastAttempt(), 0, lost ? AttemptOutcome.UNREACHABLE : AttemptOutcome.SUCCESS);
        }
        assertTrue(fixture.sentAttempts.size() >= 195, "sent " + fixture.sentAttempts.size());
        assertTrue(
                fixture.sentAttempts.stream().filter(s -> s.host().equals("r1")).count() < 10);
        fixture.router.onHealthCheckEnded(
                fixture.now,
                "r1",
                AttemptOutcome.SUCCESS,
                1 * MS,
                new ReplicationStatus(fixture.now, ReplicationRole.REPLICA));
        assertTrue(
                fixture.logLines.contains("slow start r1: capacity grows from its start on"),
                fixture.logLines.toString());
    }

    @Test
    void endOfASlowStartIsLoggedWithWhatWasSentAndHeldBack() {
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
                .filter(each -> each.startsWith("slow start p: over after 10.0 s, "))
                .findFirst()
                .orElseThrow(() -> new AssertionError(fixture.logLines.toString()));
        String counts = fixture.sentAttempts.size() + " attempts sent, ([1-9]|1[0-9]) requests held back";
        assertTrue(line.matches(".* s, " + counts), line);
    }

    @Test
    void connectionsNotMadeShowALostHostBeforeItsPollsDo() {
        RouterFixture fixture = new RouterFixture().start().listReplicaSet();
        for (int i = 0; i < 40 && fixture.logLines.stream().noneMatch(l -> l.startsWith("unresponsive")); i++) {
            fixture.sendRequest(i, RouterFixture.EVENTUAL_READ);
            fixture.now += 10 * MS;
            fixture.endAttempt(
                    fixture.lastAttempt(),
                    fixture.attemptsOf(fixture.lastAttempt().requestId()).size() - 1,
                    fixture.lastAttempt().host().equals("r2") ? AttemptOutcome.UNREACHABLE : AttemptOutcome.SUCCESS);
            // A poll that was not even sent is no sign of life.
            fixture.router.onHealthCheckEnded(fixture.now, "r2", AttemptOutcome.NOT_SENT, 0, null);
        }
        assertTrue(fixture.logLines.contains("unresponsive r2: unreachable"), fixture.logLines.toString());
    }

    /** Guards against hosts that are taken for restarted, and fed as cold ones, as connections to them break. */
    @Test
    void brokenPollsLeaveAHostInUse() {
        RouterFixture fixture = new RouterFixture().start().listReplicaSet();
        for (int i = 0; i < 5; i++) {
            fixture.now += 100 * MS;
            fixture.router.onHealthCheckEnded(fixture.now, "r1", AttemptOutcome.CONNECTION_RESET, MS, null);
        }
        fixture.answerHealthCheck("r1", fixture.now, ReplicationRole.REPLICA);
        assertTrue(fixture.logLines.stream().noneMatch(line -> line.contains("r1")), fixture.logLines.toString());
    }

    /** Guards against growth over a long day, and against polls that become rarer with every host that has gone. */
    @Test
    void hostsThatStayAwayAreForgotten() {
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
        assertTrue(fixture.logLines.isEmpty(), "nothing is known of it any more");
    }

    /** Guards against refusals that come late for a request of which nothing was ever sent. */
    @Test
    void whatWasNeverSentIsGivenUpInTheFirstHalfOfItsTime() {
        RouterFixture fixture = new RouterFixture().start();
        fixture.updateEndpoints(EndpointUpdateType.SNAPSHOT, RouterFixture.servingEntry("r1"));
        fixture.sendRequest(1, RouterFixture.NON_IDEMPOTENT_WRITE, 1000 * MS, Positions.UNKNOWN);
        fixture.advance(500 * MS);
        assertEquals(List.of(1L), fixture.rejected);
    }

    @Test
    void refusedClientsComeBackWithinTheirAimOrElseLate() {
        RouterFixture fixture = new RouterFixture().start().listReplicaSet();
        fixture.updateEndpoints(EndpointUpdateType.SNAPSHOT);
        fixture.sendRequest(1, RouterFixture.EVENTUAL_READ);
        fixture.advance(120 * MS);
        assertEquals(List.of(75 * MS), fixture.retryAfters);
        RouterFixture late = new RouterFixture().start().listReplicaSet();
        late.sendRequest(1, RouterFixture.EVENTUAL_READ);
        late.now += 250 * MS;
        late.endAttempt(late.lastAttempt(), 0, AttemptOutcome.TIMEOUT, ReplicationRole.UNKNOWN, Positions.UNKNOWN);
        assertEquals(List.of(500 * MS), late.retryAfters);
    }

    /** Guards against reads that are refused until some write comes to look for the group's new primary. */
    @Test
    void readLooksForAPrimaryWhereTheOldOneDrains() {
        RouterFixture fixture = new RouterFixture().start().listReplicaSet();
        fixture.now += 400 * MS;
        for (String r : List.of("r1", "r2", "r3")) {
            fixture.answerHealthCheck(r, fixture.now - 5_000 * MS, ReplicationRole.REPLICA);
        }
        fixture.updateState("p", EndpointState.DRAINING);
        fixture.healthChecks.clear();
        fixture.sendRequest(1, RouterFixture.BOUNDED_READ);
        assertTrue(fixture.healthChecks.containsAll(List.of("r1", "r2", "r3")), fixture.healthChecks.toString());
        fixture.answerHealthCheck("r2", fixture.now, ReplicationRole.PRIMARY);
        assertEquals("r2", fixture.lastAttempt().host());
    }

    /** Guards against a read that meets the same fault at its primary again and again, with replicas unasked. */
    @Test
    void readThatFailedAtThePrimaryIsProvenElsewhere() {
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
        int polls = fixture.healthChecks.size();
        fixture.endAttempt(fixture.lastAttempt(), 0, AttemptOutcome.ERROR);
        assertTrue(fixture.healthChecks.size() > polls);
        assertEquals(1, fixture.sentAttempts.size());
        fixture.answerHealthChecks(10 * MS);
        assertFalse(fixture.lastAttempt().host().equals("p"));
    }

    /**
     * Of fifty reads that fall to a primary which was never asked, those sent there; another's answers took this
     * long.
     */
    private static int sentUnheard(long latency) {
        int sent = 0;
        for (int n = 0; n < 50; n++) {
            RouterFixture fixture = new RouterFixture();
            fixture.seed = n;
            fixture.hasSharedSession = false;
            fixture.fleetSize = 14;
            fixture.start();
            List<EndpointEntry> hosts = new ArrayList<>();
            for (int g = 0; g < 2; g++) {
                for (String h : List.of("p", "r1", "r2", "r3")) {
                    hosts.add(new EndpointEntry(h + g, false, "z", g, EndpointState.SERVING, 1, 0));
                }
            }
            fixture.updateEndpoints(EndpointUpdateType.SNAPSHOT, hosts.toArray(EndpointEntry[]::new));
            hosts.forEach(h -> fixture.answerHealthCheck(
                    h.host(),
                    fixture.now - (h.host().startsWith("p") ? 0 : 9_000 * MS),
                    h.host().startsWith("p") ? ReplicationRole.PRIMARY : ReplicationRole.REPLICA));
            for (int i = 0; i < 60; i++) {
                fixture.router.onRequest(
                        fixture.now,
                        new RoutingRequest(i, RouterFixture.SESSION_READ, 1, "s" + i, 0, false, 1200 * MS, 5 * MS));
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
                                    fixture.now));
                }
            }
            fixture.router.onRequest(
                    fixture.now,
                    new RoutingRequest(99, RouterFixture.SESSION_READ, 0, "of " + n, 0, false, 1200 * MS, 5 * MS));
            sent += fixture.lastAttempt().requestId() == 99 ? 1 : 0;
        }
        return sent;
    }

    /** Guards against refusals by each of many proxies, none of which hears enough of one primary to trust it. */
    @Test
    void swiftAnswersOfOtherPrimariesSpeakForOneThatWasHardlyAsked() {
        int swift = sentUnheard(20 * MS);
        int strained = sentUnheard(350 * MS);
        assertTrue(swift >= 20, swift + " of 50");
        assertTrue(strained <= 16, strained + " of 50");
    }

    @Test
    void clockThatGoesBackIsTakenToStand() {
        RouterFixture fixture = new RouterFixture().start().listReplicaSet();
        fixture.router.onTimer(fixture.now + 1_000 * MS, "tick");
        fixture.now -= 500 * MS;
        fixture.sendRequest(1, RouterFixture.BOUNDED_READ);
        assertEquals(
                List.of("p"),
                fixture.sentAttempts.stream()
                        .map(RouterFixture.SentAttempt::host)
                        .toList(),
                "replicas known 1 s before the last time");
    }

    @Test
    void busyPrimaryWhoseReplicasAdvanceIsNotSilent() {
        RouterFixture fixture = new RouterFixture().start().listReplicaSet();
        for (int i = 0; i < 6; i++) {
            fixture.sendRequest(i, RouterFixture.NON_IDEMPOTENT_WRITE);
        }
        for (int i = 0; i < 20; i++) {
            fixture.advance(100 * MS);
            fixture.answerHealthCheck("r1", fixture.now - 10 * MS, ReplicationRole.REPLICA);
        }
        assertTrue(
                fixture.logLines.stream().noneMatch(l -> l.startsWith("unresponsive p")), fixture.logLines.toString());
        fixture.sendRequest(50, RouterFixture.NON_IDEMPOTENT_WRITE);
        assertEquals("p", fixture.lastAttempt().host());
    }

    @Test
    void oneLongRequestIsNoSilence() {
        RouterFixture fixture = new RouterFixture().start().listReplicaSet();
        fixture.sendRequest(1, RouterFixture.NON_IDEMPOTENT_WRITE);
        fixture.advance(2_500 * MS);
        assertTrue(fixture.logLines.stream().noneMatch(l -> l.startsWith("unresponsive")), fixture.logLines.toString());
    }

    @Test
    void sessionReadNeedsProofAsLongAsThePrimaryHasRoom() {
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
    void eventsOutOfPlaceDoNoHarm() {
        RouterFixture fixture = new RouterFixture().start().listReplicaSet();
        fixture.router.onClientDisconnected(fixture.now, 99);
        fixture.router.onTimer(fixture.now, "unheard of");
        fixture.router.onHealthCheckEnded(fixture.now, "stranger", AttemptOutcome.SUCCESS, 1, null);
        fixture.router.onAttemptEnded(
                fixture.now,
                new AttemptResult(99, 0, "p", AttemptOutcome.SUCCESS, 1, true, ReplicationRole.PRIMARY, 0));
        fixture.sendRequest(1, RouterFixture.EVENTUAL_READ);
        fixture.router.onClientDisconnected(fixture.now, 1);
        fixture.endAttempt(fixture.lastAttempt(), 0, AttemptOutcome.TIMEOUT);
        assertEquals(1, fixture.sentAttempts.size());
        assertTrue(fixture.failed.isEmpty() && fixture.rejected.isEmpty());
    }

    @Test
    void impossibleSettingsAreRefusedByName() {
        RouterFixture fixture = new RouterFixture();
        fixture.fleetSize = 0;
        assertTrue(assertThrows(IllegalArgumentException.class, fixture::start)
                .getMessage()
                .contains("routers"));
        RouterFixture other = new RouterFixture();
        other.maxAttempts = 0;
        assertTrue(assertThrows(IllegalArgumentException.class, other::start)
                .getMessage()
                .contains("maxAttempts"));
    }

    /** No file of the module may grow beyond what one person reviews in one go; the formatter holds the columns. */
    @Test
    void noFileOfTheModuleIsTooLongToReview() throws IOException {
        try (Stream<Path> files = Files.list(Path.of("src/main/java/mintstair/decision"))) {
            for (Path file : files.toList()) {
                List<String> lines = Files.readAllLines(file);
                assertTrue(lines.size() <= MAX_LINES, file + " has " + lines.size() + " lines");
                assertTrue(lines.stream().allMatch(line -> line.length() <= MAX_COLUMNS), file + " has a longer line");
            }
        }
    }
}
