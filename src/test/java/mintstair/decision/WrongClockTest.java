package mintstair.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import mintstair.request.ReplicationRole;
import org.junit.jupiter.api.Test;

/**
 * This machine's clock was wrong when the router started, while positions and start times of hosts are told by a
 * right one. A wrong clock may cost reads their replica; it must neither make a stale read, nor wipe a slow start or
 * begin one, nor hide a new primary.
 */
class WrongClockTest {
    private static final long MS = RouterFixture.MS;
    private static final long SECOND = 1_000 * MS;
    private static final long HOUR = 3_600 * SECOND;

    private final RouterFixture fixture = new RouterFixture();

    /**
     * Group 0 as the right clock, which is so far ahead of the router's, has it; {@code lag} is that of all replicas.
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

    private void pollAll(long ahead, long lag) {
        for (; fixture.answeredHealthChecks < fixture.healthChecks.size(); fixture.answeredHealthChecks++) {
            boolean primary =
                    fixture.healthChecks.get(fixture.answeredHealthChecks).equals("p");
            fixture.now += MS;
            fixture.answerHealthCheck(
                    fixture.healthChecks.get(fixture.answeredHealthChecks),
                    fixture.now + ahead - (primary ? 0 : lag),
                    primary ? ReplicationRole.PRIMARY : ReplicationRole.REPLICA);
        }
    }

    private Set<String> hostsOfReads(int reads, int kind, long ahead, long lag) {
        Set<String> hosts = new HashSet<>();
        for (long id = 1; id <= reads; id++) {
            fixture.now += 5 * MS;
            int sent = fixture.sentAttempts.size();
            fixture.sendRequest(id, kind);
            pollAll(ahead, lag);
            if (fixture.sentAttempts.size() > sent) {
                hosts.add(fixture.lastAttempt().host());
                fixture.endAttempt(fixture.lastAttempt(), fixture.attemptsOf(id).size() - 1, AttemptOutcome.SUCCESS);
            }
        }
        return hosts;
    }

    /**
     * The bound is 200 ms: replicas that are 5 s behind are too old, though by a clock that is an hour behind they
     * come from its future.
     */
    @Test
    void clockThatIsBehindMakesNoStaleRead() {
        start(HOUR, 5 * SECOND);
        assertEquals(Set.of("p"), hostsOfReads(100, RouterFixture.BOUNDED_READ, HOUR, 5 * SECOND));
    }

    /** Two seconds behind, and replicas that lag by as much: the smallest step that hides a lag. */
    @Test
    void clockThatIsBehindByAsMuchAsReplicasLagMakesNoStaleRead() {
        start(2 * SECOND, 2 * SECOND);
        assertEquals(Set.of("p"), hostsOfReads(100, RouterFixture.BOUNDED_READ, 2 * SECOND, 2 * SECOND));
    }

    /** Its own answers show what replicas lag: the clock is right there, and those that keep up are used. */
    @Test
    void replicasThatKeepUpAreUsedWhereTheClockIsBehind() {
        start(HOUR, 10 * MS);
        assertTrue(hostsOfReads(100, RouterFixture.BOUNDED_READ, HOUR, 10 * MS).size() > 2);
    }

    /**
     * Started 10 minutes ago, which is 50 minutes ahead of this clock: they are warm, and have the room of warm ones.
     */
    @Test
    void clockThatIsBehindStartsNoSlowStart() {
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
     * The list comes before the first poll: a slow start that rests on the wrong clock alone is over when positions
     * show it wrong.
     */
    @Test
    void slowStartOfAWrongClockEndsWithTheFirstPositions() {
        fixture.now = 100 * HOUR;
        fixture.start();
        long started = fixture.now + HOUR - 600 * SECOND;
        fixture.updateEndpoints(
                EndpointUpdateType.SNAPSHOT,
                new EndpointEntry("p", false, "z", 0, EndpointState.SERVING, 1, started),
                new EndpointEntry("r1", false, "z", 0, EndpointState.SERVING, 1, started));
        fixture.answerHealthCheck("p", fixture.now + HOUR, ReplicationRole.PRIMARY);
        fixture.answerHealthCheck("r1", fixture.now + HOUR, ReplicationRole.REPLICA);
        // 40 at once: a cold replica would be given its fifth of them at most.
        int sent = fixture.sentAttempts.size();
        for (long id = 1; id <= 12; id++) {
            fixture.sendRequest(id, RouterFixture.EVENTUAL_READ);
        }
        assertTrue(fixture.sentAttempts.size() - sent >= 10, "sent " + (fixture.sentAttempts.size() - sent));
    }

    /** Started a second ago by the right clock; this one is an hour ahead. */
    @Test
    void clockThatIsAheadWipesNoSlowStart() {
        start(-HOUR, 10 * MS);
        fixture.updateEndpoints(
                EndpointUpdateType.DELTA,
                new EndpointEntry("r1", false, "z", 0, EndpointState.SERVING, 1, fixture.now - HOUR - SECOND));
        assertTrue(
                fixture.logLines.contains("slow start r1: capacity grows from its start on"),
                fixture.logLines.toString());
    }

    /**
     * Listed as started a second ago before any position is known; the first positions show that the clock is an hour
     * ahead.
     */
    @Test
    void slowStartThatAClockAheadHidBeginsWithTheFirstPositions() {
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
     * An answer of the old primary stands at this clock's time, a poll of the new one at the right clock's, an hour
     * before.
     */
    @Test
    void newPrimaryThatAPollTellsOfIsFoundWhereTheClockIsAhead() {
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
     * A primary unheard of for long is polled before a write: positions in this clock's future are no sign of life
     * for an hour.
     */
    @Test
    void lostPrimaryIsNotTakenToLiveWhereTheClockIsBehind() {
        start(HOUR, 10 * MS);
        fixture.now += 10 * SECOND;
        fixture.healthChecks.clear();
        fixture.answeredHealthChecks = 0;
        int sent = fixture.sentAttempts.size();
        fixture.sendRequest(1, RouterFixture.NON_IDEMPOTENT_WRITE);
        assertEquals(sent, fixture.sentAttempts.size(), "a write goes to a primary that was not heard of for 10 s");
        assertTrue(fixture.healthChecks.contains("p"));
    }

    /** Nothing of this concerns a clock that is right to within what machines' clocks differ by. */
    @Test
    void readsAreSpreadByARightClock() {
        start(2 * MS, 10 * MS);
        assertTrue(
                hostsOfReads(100, RouterFixture.BOUNDED_READ, 2 * MS, 10 * MS).size() > 2);
    }
}
