package mintstair.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.List;
import mintstair.decision.RouterFixture.SentAttempt;
import mintstair.request.ReplicationRole;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests what a router learns from the end of a streamed reply. It may be read at any time after the host has sent it,
 * which was after the first part.
 */
class StreamedReplyTest {
    private static final long MS = RouterFixture.MS;
    private static final long SECOND = 1_000 * MS;

    private final RouterFixture fixture = new RouterFixture();

    /** Starts the router with one host, the primary p. */
    private void startWithPrimaryOnly() {
        fixture.start();
        fixture.updateEndpoints(EndpointUpdateType.SNAPSHOT, RouterFixture.servingEntry("p"));
        fixture.answerHealthCheck("p", fixture.now, ReplicationRole.PRIMARY);
    }

    /** Sends a write, to which the first part of a reply arrives at once. */
    private SentAttempt writeWithStreamedReply(long id) {
        fixture.sendRequest(id, RouterFixture.NON_IDEMPOTENT_WRITE);
        SentAttempt sent = fixture.attemptsOf(id).get(0);
        fixture.startReply(sent, 0);
        return sent;
    }

    /** Sends a write, which the primary serves; it reports this role. */
    private void write(long id, ReplicationRole role) {
        fixture.sendRequest(id, RouterFixture.NON_IDEMPOTENT_WRITE);
        fixture.endAttempt(fixture.attemptsOf(id).get(0), 0, AttemptOutcome.SUCCESS, role, Positions.UNKNOWN);
    }

    private int attemptsOfNextWrite() {
        fixture.sendRequest(99, RouterFixture.NON_IDEMPOTENT_WRITE);
        return fixture.attemptsOf(99).size();
    }

    @ParameterizedTest
    @EnumSource(names = {"SUCCESS", "ERROR", "OVERLOADED", "MISDIRECTED"})
    void hostThatReportsAtTheEndThatItIsAReplicaIsNoLongerPrimary(AttemptOutcome outcome) {
        startWithPrimaryOnly();
        SentAttempt sent = writeWithStreamedReply(1);
        fixture.now += 10 * MS;
        fixture.endReply(sent, outcome, ReplicationRole.REPLICA, Positions.UNKNOWN);
        assertEquals(0, attemptsOfNextWrite());
    }

    /**
     * Another connection has reported since that the host is a replica. The late report has no position, or one of a
     * clock that agrees or is ahead.
     */
    @ParameterizedTest
    @ValueSource(longs = {Positions.UNKNOWN, 0, 400 * MS, 3 * SECOND, 60 * SECOND})
    void lateReportOfAPrimaryDoesNotReplaceANewerOneOfAReplica(long afterFirstPart) {
        startWithPrimaryOnly();
        SentAttempt sent = writeWithStreamedReply(1);
        long position = afterFirstPart == Positions.UNKNOWN ? Positions.UNKNOWN : fixture.now + afterFirstPart;
        fixture.now += 500 * MS;
        write(2, ReplicationRole.REPLICA);
        fixture.now += 400 * MS;
        fixture.endReply(sent, AttemptOutcome.SUCCESS, ReplicationRole.PRIMARY, position);
        assertEquals(0, attemptsOfNextWrite());
    }

    /** Its position shows that the host became a replica after another connection had reported it as primary. */
    @Test
    void lateReportOfAReplicaIsDatedByItsPosition() {
        startWithPrimaryOnly();
        SentAttempt sent = writeWithStreamedReply(1);
        long steppedDownAt = fixture.now + 800 * MS;
        fixture.now += 500 * MS;
        write(2, ReplicationRole.PRIMARY);
        fixture.now += 400 * MS;
        fixture.endReply(sent, AttemptOutcome.SUCCESS, ReplicationRole.REPLICA, steppedDownAt);
        assertEquals(0, attemptsOfNextWrite());
    }

    /** The host may have become primary after it sent the report. */
    @Test
    void lateReportOfAReplicaDoesNotReplaceANewerOneOfAPrimary() {
        startWithPrimaryOnly();
        SentAttempt sent = writeWithStreamedReply(1);
        long position = fixture.now;
        fixture.now += 500 * MS;
        write(2, ReplicationRole.PRIMARY);
        fixture.now += 400 * MS;
        fixture.endReply(sent, AttemptOutcome.SUCCESS, ReplicationRole.REPLICA, position);
        assertEquals(1, attemptsOfNextWrite());
    }

    @Test
    void hostThatHasMovedToAnotherReplicaSetIsNotTakenForItsPrimary() {
        startWithPrimaryOnly();
        SentAttempt sent = writeWithStreamedReply(1);
        fixture.now += 10 * MS;
        fixture.updateEndpoints(
                EndpointUpdateType.DELTA, new EndpointEntry("p", false, "z", 1, EndpointState.SERVING, 1, 0));
        fixture.endReply(sent, AttemptOutcome.SUCCESS, ReplicationRole.PRIMARY, fixture.now);
        assertFalse(fixture.logLines.contains("replica set 1: primary is p"), fixture.logLines.toString());
    }

    /** A position proves what the replica has reached, however late it is read. */
    @Test
    void latePositionOfAReplicaProvesWhatItHasReached() {
        fixture.start();
        fixture.updateEndpoints(
                EndpointUpdateType.SNAPSHOT, RouterFixture.servingEntry("p"), RouterFixture.servingEntry("r1"));
        fixture.answerHealthCheck("p", fixture.now, ReplicationRole.PRIMARY);
        fixture.answerHealthCheck("r1", fixture.now - 10 * SECOND, ReplicationRole.REPLICA);
        long reached = fixture.now - 5 * SECOND;
        fixture.sendRequest(1, RouterFixture.EVENTUAL_READ);
        SentAttempt sent = fixture.lastAttempt();
        assertEquals("r1", sent.host());
        fixture.startReply(sent, 0);
        fixture.now += 3 * SECOND;
        fixture.endReply(sent, AttemptOutcome.SUCCESS, ReplicationRole.REPLICA, reached);
        fixture.sendRequest(2, RouterFixture.SESSION_READ, SECOND, fixture.now - reached + 5 * MS);
        assertEquals("r1", fixture.attemptsOf(2).get(0).host());
    }

    /** The host broke off the reply or went silent: whether it is alive is asked at once. */
    @ParameterizedTest
    @EnumSource(names = {"CONNECTION_RESET", "TIMEOUT", "UNREACHABLE"})
    void hostThatBreaksOffAReplyIsChecked(AttemptOutcome outcome) {
        startWithPrimaryOnly();
        SentAttempt sent = writeWithStreamedReply(1);
        fixture.now += 60 * MS;
        int checksBefore = fixture.healthChecks.size();
        fixture.endReply(sent, outcome, ReplicationRole.UNKNOWN, Positions.UNKNOWN);
        assertEquals(
                List.of("p"),
                fixture.healthChecks.subList(checksBefore, fixture.healthChecks.size()),
                "health checks after " + outcome);
    }

    /** The client has left, or the reply is complete: there is no reason for a check. */
    @ParameterizedTest
    @EnumSource(names = {"CANCELLED", "SUCCESS"})
    void hostIsNotCheckedAfterOtherEnds(AttemptOutcome outcome) {
        startWithPrimaryOnly();
        SentAttempt sent = writeWithStreamedReply(1);
        fixture.now += 60 * MS;
        int checksBefore = fixture.healthChecks.size();
        fixture.endReply(sent, outcome, ReplicationRole.UNKNOWN, Positions.UNKNOWN);
        assertEquals(checksBefore, fixture.healthChecks.size());
        assertEquals(1, attemptsOfNextWrite());
    }

    /** Each reply ends once; an end without a beginning is ignored. */
    @Test
    void secondEndIsIgnored() {
        startWithPrimaryOnly();
        SentAttempt sent = writeWithStreamedReply(1);
        fixture.now += MS;
        fixture.endReply(sent, AttemptOutcome.SUCCESS, ReplicationRole.PRIMARY, fixture.now);
        fixture.endReply(sent, AttemptOutcome.SUCCESS, ReplicationRole.REPLICA, fixture.now);
        assertEquals(1, attemptsOfNextWrite());
    }
}
