package mintstair.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import mintstair.decision.InvariantMonitor.Finding;
import mintstair.decision.InvariantMonitor.Violation;
import org.junit.jupiter.api.Test;

/** Tests that the monitor reports each violated invariant, and nothing up to the limit of each invariant. */
class InvariantMonitorTest {
    private static final long MS = 1_000;
    private static final long SECOND = 1_000 * MS;
    private static final long GRACE = SECOND;
    private static final long WINDOW = 300 * MS;
    private static final long REQUEST = 7;
    private static final String HOST = "h";

    private final InvariantMonitor monitor = new InvariantMonitor();

    private void acceptRequest(Idempotency idempotency) {
        monitor.requestAccepted(
                REQUEST,
                new RequestClass(
                        "c",
                        Consistency.WRITE,
                        idempotency,
                        DeduplicationScope.ALL,
                        0,
                        SECOND,
                        2 * SECOND,
                        WINDOW,
                        1,
                        0),
                2 * SECOND);
    }

    private List<Violation> startAttempt(long now, int attempt) {
        return startAttempt(now, attempt, SECOND);
    }

    private List<Violation> startAttempt(long now, int attempt, long timeout) {
        return monitor.attemptStarted(now, REQUEST, attempt, HOST, timeout, GRACE).stream()
                .map(Finding::violation)
                .toList();
    }

    @Test
    void nonIdempotentRequestMayNotBeSentAgainWhileAnAttemptIsInFlightOrMayHaveRun() {
        acceptRequest(Idempotency.NOT_IDEMPOTENT);
        assertEquals(List.of(), startAttempt(0, 0));
        assertEquals(List.of(Violation.SENT_TWICE), startAttempt(MS, 1));
        monitor.attemptEnded(REQUEST, 0, false);
        monitor.attemptEnded(REQUEST, 1, true);
        assertEquals(List.of(Violation.SENT_TWICE), startAttempt(2 * MS, 2));
    }

    @Test
    void nonIdempotentRequestThatDidNotRunMayBeSentAgain() {
        acceptRequest(Idempotency.NOT_IDEMPOTENT);
        startAttempt(0, 0);
        monitor.attemptEnded(REQUEST, 0, false);
        assertEquals(List.of(), startAttempt(MS, 1));
    }

    @Test
    void requestWithIdempotencyKeyMayBeSentAgainOnlyWithinItsDeduplicationWindow() {
        acceptRequest(Idempotency.IDEMPOTENCY_KEY);
        startAttempt(0, 0);
        monitor.attemptEnded(REQUEST, 0, true);
        assertEquals(List.of(), startAttempt(WINDOW, 1));
        assertEquals(List.of(Violation.SENT_TWICE), startAttempt(WINDOW + 250 * MS, 2));
    }

    @Test
    void idempotentRequestMayBeSentAgain() {
        acceptRequest(Idempotency.IDEMPOTENT);
        startAttempt(0, 0);
        assertEquals(List.of(), startAttempt(MS, 1));
    }

    @Test
    void noAttemptMayStartOnceItsRequestIsOver() {
        acceptRequest(Idempotency.IDEMPOTENT);
        startAttempt(0, 0);
        monitor.requestClosed(REQUEST);
        assertEquals(List.of(Violation.SENT_AFTER_END), startAttempt(MS, 1));
    }

    @Test
    void timeoutSentToAHostMayNotExceedTheRemainingTimeOfTheClient() {
        acceptRequest(Idempotency.IDEMPOTENT);
        assertEquals(List.of(), startAttempt(SECOND, 0, SECOND + 150 * MS));
        assertEquals(List.of(Violation.WAIT_TOO_LONG), startAttempt(SECOND, 1, SECOND + 151 * MS));
    }

    @Test
    void noAttemptMayStartAtADrainingHostAfterTheGracePeriod() {
        acceptRequest(Idempotency.IDEMPOTENT);
        monitor.hostListed(0, HOST, true);
        assertEquals(List.of(), startAttempt(GRACE, 0, MS));
        monitor.hostListed(GRACE, HOST, true);
        assertEquals(List.of(Violation.SENT_TO_DRAINING), startAttempt(GRACE + 201 * MS, 1, MS));
        monitor.hostListed(GRACE + 202 * MS, HOST, false);
        assertEquals(List.of(), startAttempt(GRACE + 203 * MS, 2, MS));
    }

    @Test
    void lateAnswerAndSecondAnswerAreViolations() {
        acceptRequest(Idempotency.IDEMPOTENT);
        startAttempt(0, 0);
        assertEquals(
                List.of(new Finding(Violation.ANSWERED_LATE, REQUEST, "")),
                monitor.requestAnswered(2 * SECOND + 501 * MS, REQUEST));
        assertEquals(2, monitor.requestAnswered(2 * SECOND + 502 * MS, REQUEST).size());
    }

    @Test
    void requestIsForgottenOnceItAndItsAttemptsAreOver() {
        acceptRequest(Idempotency.IDEMPOTENT);
        startAttempt(0, 0);
        monitor.requestAnswered(MS, REQUEST);
        assertEquals(1, monitor.openRequests());
        monitor.attemptEnded(REQUEST, 0, true);
        assertEquals(0, monitor.openRequests());
    }
}
