package mintstair.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import mintstair.request.ReplicationRole;
import org.junit.jupiter.api.Test;

/**
 * The position that reads of a session must see after a write whose commit time the host reports as a span of one
 * second. It must not be before the commit, and be no later than is known, so that replicas can serve the session again.
 */
class SessionPositionTest {
    private static final long MS = RouterFixture.MS;
    private static final long SECOND = 1_000 * MS;
    private static final long HOUR = 3_600 * SECOND;
    /** The largest difference between clocks that count as correct. */
    private static final long TOLERANCE = 20 * MS;
    /** The time of the write's answer: 300 ms after the start of a second. */
    private static final long ANSWERED_AT = 100 * HOUR + 300 * MS;

    private final RouterFixture fixture = new RouterFixture();

    /** Starts the router; {@code ahead} is by how much the clock of the hosts is ahead of that of the router. */
    private void start(long ahead) {
        startWithoutReports();
        fixture.answerHealthCheck("p", fixture.now + ahead, ReplicationRole.PRIMARY);
    }

    /** Starts the router, which learns from an answer who is primary, but not its position. */
    private void startWithoutReports() {
        fixture.remembersSessionTokens = true;
        fixture.now = ANSWERED_AT - 100 * MS;
        fixture.start();
        fixture.updateEndpoints(EndpointUpdateType.SNAPSHOT, RouterFixture.servingEntry("p"));
        fixture.sendRequest(1, RouterFixture.EVENTUAL_READ);
        fixture.endAttempt(
                fixture.lastAttempt(), 0, AttemptOutcome.SUCCESS, ReplicationRole.PRIMARY, Positions.UNKNOWN);
        fixture.updateEndpoints(EndpointUpdateType.DELTA, RouterFixture.servingEntry("r1"));
    }

    /** Writes; the answer arrives at {@link #ANSWERED_AT} and reports the second of the commit. */
    private void write(long commitSecond) {
        write(commitSecond, commitSecond + SECOND - 1);
    }

    private void write(long earliestCommit, long latestCommit) {
        fixture.sendRequest(2, RouterFixture.NON_IDEMPOTENT_WRITE);
        fixture.now = ANSWERED_AT;
        fixture.endAttempt(
                fixture.lastAttempt(),
                0,
                AttemptOutcome.SUCCESS,
                ReplicationRole.UNKNOWN,
                earliestCommit,
                latestCommit);
    }

    /** Returns the host of a read of the session that arrives after the replica has reported this position. */
    private String hostOfReadAt(long id, long replicaPosition) {
        fixture.now += 2 * SECOND;
        fixture.answerHealthCheck("r1", replicaPosition, ReplicationRole.REPLICA);
        fixture.sendRequest(id, RouterFixture.SESSION_READ);
        for (long waited = 0; fixture.attemptsOf(id).isEmpty() && waited < 200 * MS; waited += 20 * MS) {
            fixture.advance(20 * MS);
        }
        List<RouterFixture.SentAttempt> attempts = fixture.attemptsOf(id);
        return attempts.isEmpty() ? "none" : attempts.get(0).host();
    }

    /** Asserts that the replica serves the session from this position on, and not a microsecond before it. */
    private void assertRequired(long position) {
        assertEquals("p", hostOfReadAt(3, position - 1));
        assertEquals("r1", hostOfReadAt(4, position));
    }

    @Test
    void commitIsNoLaterThanItsAnswerWhereTheClocksAgree() {
        start(0);
        write(ANSWERED_AT - 300 * MS);
        assertRequired(ANSWERED_AT + TOLERANCE);
    }

    @Test
    void commitIsNoLaterThanTheEndOfItsSecond() {
        start(0);
        write(ANSWERED_AT - 1_300 * MS);
        assertRequired(ANSWERED_AT - 300 * MS - 1);
    }

    /** No report of the primary shows that the clocks agree: the router's own time may be too early. */
    @Test
    void commitMayBeAsLateAsTheEndOfItsSecondBeforeThePrimaryHasReported() {
        startWithoutReports();
        write(ANSWERED_AT - 300 * MS);
        assertRequired(ANSWERED_AT + 700 * MS - 1);
    }

    /** The clock of the hosts was set ahead after their last report. */
    @Test
    void commitMayBeAsLateAsTheEndOfItsSecondWhereItShowsThatTheClocksDiffer() {
        start(0);
        write(ANSWERED_AT + HOUR - 300 * MS);
        assertRequired(ANSWERED_AT + HOUR + 700 * MS - 1);
    }

    @Test
    void commitIsNotBeforeItsAnswerByAClockThatIsBehind() {
        start(400 * MS);
        write(ANSWERED_AT - 300 * MS);
        // 100 ms is the assumed age of a report.
        assertRequired(ANSWERED_AT + 400 * MS + 100 * MS + TOLERANCE);
    }

    /** The clock of the host may be ahead of that of the router by the tolerance, and so may the commit. */
    @Test
    void commitOfAWriteAnsweredWithoutAPositionIsNotBeforeItsAnswer() {
        start(15 * MS);
        write(Positions.UNKNOWN, Positions.UNKNOWN);
        assertRequired(ANSWERED_AT + TOLERANCE);
    }

    /** Nothing is known of the commit, so that the session is served by the primary. */
    @Test
    void commitOfAWriteAnsweredWithoutAPositionIsUnknownBeforeThePrimaryHasReported() {
        startWithoutReports();
        write(Positions.UNKNOWN, Positions.UNKNOWN);
        assertEquals("p", hostOfReadAt(3, ANSWERED_AT + HOUR));
    }

    @Test
    void commitIsNoLaterThanTheEndOfItsSecondByAClockThatIsAhead() {
        start(-HOUR);
        write(ANSWERED_AT - HOUR - 300 * MS);
        assertRequired(ANSWERED_AT - HOUR + 700 * MS - 1);
    }

    /** Guards against counting a write with a long reply as committed at the first part: it is so at the end only. */
    @Test
    void commitOfAWriteWithALongReplyIsKnownAtItsEnd() {
        start(0);
        fixture.sendRequest(2, RouterFixture.NON_IDEMPOTENT_WRITE);
        fixture.now = ANSWERED_AT;
        fixture.startReply(fixture.lastAttempt(), 0);
        fixture.now += 800 * MS;
        long commit = ANSWERED_AT + 700 * MS;
        fixture.endReply(fixture.lastAttempt(), AttemptOutcome.SUCCESS, ReplicationRole.PRIMARY, commit);
        assertRequired(commit);
    }

    /** The host reports no position: the commit is no later than the end of the reply. */
    @Test
    void commitOfAWriteWithALongReplyWithoutAPositionIsNotBeforeItsEnd() {
        start(0);
        fixture.sendRequest(2, RouterFixture.NON_IDEMPOTENT_WRITE);
        fixture.now = ANSWERED_AT;
        fixture.startReply(fixture.lastAttempt(), 0);
        fixture.now += 800 * MS;
        fixture.endReply(fixture.lastAttempt(), AttemptOutcome.SUCCESS, ReplicationRole.PRIMARY, Positions.UNKNOWN);
        assertRequired(ANSWERED_AT + 800 * MS + TOLERANCE);
    }
}
