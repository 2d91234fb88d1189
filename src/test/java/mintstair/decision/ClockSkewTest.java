package mintstair.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import mintstair.request.ReplicationRole;
import org.junit.jupiter.api.Test;

/**
 * Tests a router whose own clock is wrong, while hosts report positions and start times by a correct clock. A wrong clock
 * may keep reads from being sent to replicas, but it must not lead to stale reads, must neither hide a slow start nor
 * cause one, and must not hide a new primary.
 */
class ClockSkewTest {
    private static final long MS = RouterFixture.MS;
    private static final long SECOND = 1_000 * MS;
    private static final long HOUR = 3_600 * SECOND;

    private final RouterFixture fixture = new RouterFixture();

    /**
     * Starts the router and reports the state of replica set 0.
     *
     * @param ahead by how much the clock of the hosts is ahead of that of the router
     * @param lag the replication lag of all replicas
     */
    private void start(long ahead, long lag) {
        fixture.now = 100 * HOUR;
        fixture.start();
        fixture.updateEndpoints(
                EndpointUpdateType.SNAPSHOT,
                RouterFixture.servingEntry("p"),
                RouterFixture.servingEntry("r1"),
                RouterFixture.servingEntry("r2"),
                RouterFixture.servingEntry("r3"));
        for (String replica : List.of("r1", "r2", "r3")) {
            fixture.answerHealthCheck(replica, fixture.now + ahead - lag, ReplicationRole.REPLICA);
        }
        fixture.answerHealthCheck("p", fixture.now + ahead, ReplicationRole.PRIMARY);
    }

    /** Answers all open polls, as {@link #start} reports the state. */
    private void answerHealthChecks(long ahead, long lag) {
        for (; fixture.answeredHealthChecks < fixture.healthChecks.size(); fixture.answeredHealthChecks++) {
            boolean isPrimary =
                    fixture.healthChecks.get(fixture.answeredHealthChecks).equals("p");
            fixture.now += MS;
            fixture.answerHealthCheck(
                    fixture.healthChecks.get(fixture.answeredHealthChecks),
                    fixture.now + ahead - (isPrimary ? 0 : lag),
                    isPrimary ? ReplicationRole.PRIMARY : ReplicationRole.REPLICA);
        }
    }

    /** Sends reads of one class and returns the hosts that they were sent to. */
    private Set<String> hostsOfReads(int reads, int classIndex, long ahead, long lag) {
        Set<String> hosts = new HashSet<>();
        for (long id = 1; id <= reads; id++) {
            fixture.now += 5 * MS;
            int sentBefore = fixture.sentAttempts.size();
            fixture.sendRequest(id, classIndex);
            answerHealthChecks(ahead, lag);
            if (fixture.sentAttempts.size() > sentBefore) {
                hosts.add(fixture.lastAttempt().host());
                fixture.endAttempt(fixture.lastAttempt(), fixture.attemptsOf(id).size() - 1, AttemptOutcome.SUCCESS);
            }
        }
        return hosts;
    }

    /**
     * The staleness bound is 200 ms. Replicas that lag by 5 s are too old, although their positions are in the future
     * of a clock that is an hour behind.
     */
    @Test
    void clockBehindCausesNoStaleReads() {
        start(HOUR, 5 * SECOND);
        assertEquals(Set.of("p"), hostsOfReads(100, RouterFixture.BOUNDED_READ, HOUR, 5 * SECOND));
    }

    /** A clock that is behind by exactly the replication lag makes the replicas seem up to date. */
    @Test
    void clockBehindByTheReplicationLagCausesNoStaleReads() {
        start(2 * SECOND, 2 * SECOND);
        assertEquals(Set.of("p"), hostsOfReads(100, RouterFixture.BOUNDED_READ, 2 * SECOND, 2 * SECOND));
    }

    /** A report that is read 3 s after it was made would make the clock seem 3 s less behind. */
    @Test
    void lateReportOfAPrimaryCausesNoStaleReadsWhenTheClockIsBehind() {
        start(HOUR, 2 * SECOND);
        fixture.sendRequest(1_000, RouterFixture.NON_IDEMPOTENT_WRITE);
        RouterFixture.SentAttempt sent = fixture.lastAttempt();
        fixture.startReply(sent, 0);
        long position = fixture.now + HOUR;
        fixture.now += 3 * SECOND;
        for (String replica : List.of("r1", "r2", "r3")) {
            fixture.answerHealthCheck(replica, fixture.now + HOUR - 2 * SECOND, ReplicationRole.REPLICA);
        }
        fixture.endReply(sent, AttemptOutcome.SUCCESS, ReplicationRole.PRIMARY, position);
        fixture.sendRequest(1, RouterFixture.BOUNDED_READ);
        assertEquals("p", fixture.lastAttempt().host());
        assertEquals(1, fixture.lastAttempt().requestId());
    }

    /**
     * The positions of the primary reveal the error of the clock, so that replicas with little lag are still
     * recognized.
     */
    @Test
    void replicasWithLittleLagAreUsedWhenTheClockIsBehind() {
        start(HOUR, 10 * MS);
        assertTrue(hostsOfReads(100, RouterFixture.BOUNDED_READ, HOUR, 10 * MS).size() > 2);
    }

    /** The hosts started 10 minutes ago, which is 50 minutes ahead of the clock of the router. They are warm. */
    @Test
    void clockBehindCausesNoSlowStart() {
        start(HOUR, 10 * MS);
        long started = fixture.now + HOUR - 600 * SECOND;
        for (String host : List.of("p", "r1", "r2", "r3")) {
            fixture.updateEndpoints(
                    EndpointUpdateType.DELTA,
                    new EndpointEntry(host, false, "z", 0, EndpointState.SERVING, 1, started));
        }
        assertFalse(
                fixture.logLines.stream().anyMatch(line -> line.startsWith("slow start ")),
                fixture.logLines.toString());
    }

    /**
     * The endpoint list arrives before the first poll: the slow start that follows from the wrong clock ends when
     * positions reveal the error.
     */
    @Test
    void slowStartCausedByAClockBehindEndsWithTheFirstPositions() {
        fixture.now = 100 * HOUR;
        fixture.start();
        long started = fixture.now + HOUR - 600 * SECOND;
        fixture.updateEndpoints(
                EndpointUpdateType.SNAPSHOT,
                new EndpointEntry("p", false, "z", 0, EndpointState.SERVING, 1, started),
                new EndpointEntry("r1", false, "z", 0, EndpointState.SERVING, 1, started));
        fixture.answerHealthCheck("p", fixture.now + HOUR, ReplicationRole.PRIMARY);
        fixture.answerHealthCheck("r1", fixture.now + HOUR, ReplicationRole.REPLICA);
        // A replica in slow start would get only a fifth of the requests.
        int sentBefore = fixture.sentAttempts.size();
        for (long id = 1; id <= 12; id++) {
            fixture.sendRequest(id, RouterFixture.EVENTUAL_READ);
        }
        assertTrue(
                fixture.sentAttempts.size() - sentBefore >= 10,
                "sent " + (fixture.sentAttempts.size() - sentBefore) + " of 12");
    }

    /** The host started a second ago by the correct clock, while the clock of the router is an hour ahead. */
    @Test
    void clockAheadHidesNoSlowStart() {
        start(-HOUR, 10 * MS);
        fixture.updateEndpoints(
                EndpointUpdateType.DELTA,
                new EndpointEntry("r1", false, "z", 0, EndpointState.SERVING, 1, fixture.now - HOUR - SECOND));
        assertTrue(
                fixture.logLines.contains("slow start r1: capacity grows from its start on"),
                fixture.logLines.toString());
    }

    /**
     * The host is listed as started a second ago before any position is known; the first positions reveal that the
     * clock of the router is an hour ahead.
     */
    @Test
    void slowStartHiddenByAClockAheadBeginsWithTheFirstPositions() {
        fixture.now = 100 * HOUR;
        fixture.start();
        fixture.updateEndpoints(
                EndpointUpdateType.SNAPSHOT,
                RouterFixture.servingEntry("p"),
                new EndpointEntry("r1", false, "z", 0, EndpointState.SERVING, 1, fixture.now - HOUR - SECOND));
        fixture.answerHealthCheck("p", fixture.now - HOUR, ReplicationRole.PRIMARY);
        fixture.answerHealthCheck("r1", fixture.now - HOUR, ReplicationRole.REPLICA);
        assertTrue(
                fixture.logLines.contains("slow start r1: capacity grows from its start on"),
                fixture.logLines.toString());
    }

    /**
     * The reply of the old primary is dated by the clock of the router, the report of the new one by the correct clock,
     * which is an hour earlier.
     */
    @Test
    void newPrimaryReportedByAPollIsFoundWhenTheClockIsAhead() {
        start(-HOUR, 10 * MS);
        fixture.sendRequest(1, RouterFixture.NON_IDEMPOTENT_WRITE);
        fixture.endAttempt(
                fixture.lastAttempt(), 0, AttemptOutcome.SUCCESS, ReplicationRole.PRIMARY, Positions.UNKNOWN);
        fixture.now += 10 * SECOND;
        fixture.answerHealthCheck("r1", fixture.now - HOUR, ReplicationRole.PRIMARY);
        fixture.sendRequest(2, RouterFixture.NON_IDEMPOTENT_WRITE);
        assertEquals("r1", fixture.lastAttempt().host());
    }

    /**
     * A primary that has not replied for long is polled before a write. Positions in the future of a clock that is an
     * hour behind must not count as recent replies.
     */
    @Test
    void primaryWithoutRecentReplyIsPolledWhenTheClockIsBehind() {
        start(HOUR, 10 * MS);
        fixture.now += 10 * SECOND;
        fixture.healthChecks.clear();
        fixture.answeredHealthChecks = 0;
        int sentBefore = fixture.sentAttempts.size();
        fixture.sendRequest(1, RouterFixture.NON_IDEMPOTENT_WRITE);
        assertEquals(
                sentBefore, fixture.sentAttempts.size(), "write was sent to a primary that has not replied for 10 s");
        assertTrue(fixture.healthChecks.contains("p"));
    }

    /** The replicas lag by 5 s, and by a clock that is an hour behind their positions are in the future. */
    @Test
    void clockBehindCausesNoStaleReadsBeforeThePrimaryHasReportedItsPosition() {
        fixture.now = 100 * HOUR;
        fixture.start();
        fixture.updateEndpoints(
                EndpointUpdateType.SNAPSHOT,
                RouterFixture.servingEntry("p"),
                RouterFixture.servingEntry("r1"),
                RouterFixture.servingEntry("r2"));
        fixture.answerHealthCheck("p", Positions.UNKNOWN, ReplicationRole.PRIMARY);
        for (String replica : List.of("r1", "r2")) {
            fixture.answerHealthCheck(replica, fixture.now + HOUR - 5 * SECOND, ReplicationRole.REPLICA);
        }
        for (long id = 1; id <= 20; id++) {
            fixture.now += 5 * MS;
            fixture.sendRequest(id, RouterFixture.BOUNDED_READ);
        }
        assertEquals(
                Set.of("p"),
                fixture.sentAttempts.stream()
                        .map(RouterFixture.SentAttempt::host)
                        .collect(Collectors.toSet()));
    }

    /** Some hosts report their role alone; who is primary does not depend on a position. */
    @Test
    void hostsThatReportTheirRoleWithoutAPositionAreKnownByTheirHealthChecks() {
        start(0, 10 * MS);
        fixture.now += 10 * SECOND;
        fixture.answerHealthCheck("p", Positions.UNKNOWN, ReplicationRole.REPLICA);
        fixture.answerHealthCheck("r1", Positions.UNKNOWN, ReplicationRole.PRIMARY);
        fixture.sendRequest(1, RouterFixture.NON_IDEMPOTENT_WRITE);
        assertEquals("r1", fixture.lastAttempt().host());
    }

    /** A clock that differs by no more than synchronized clocks usually do counts as correct. */
    @Test
    void readsAreSpreadOverReplicasWhenTheClockIsCorrect() {
        start(2 * MS, 10 * MS);
        assertTrue(
                hostsOfReads(100, RouterFixture.BOUNDED_READ, 2 * MS, 10 * MS).size() > 2);
    }
}
