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

    private void takeRequest(Idempotency idempotency) {
        monitor.taken(
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

    private List<Violation> beginAttempt(long now, int attempt) {
        return beginAttempt(now, attempt, SECOND);
    }

    private List<Violation> beginAttempt(long now, int attempt, long timeout) {
        return monitor.begun(now, REQUEST, attempt, HOST, timeout, GRACE).stream()
                .map(Finding::violation)
                .toList();
    }

    @Test
    void nonIdempotentRequestMayNotBeginAgainWhileAnAttemptIsInFlightOrMayHaveRun() {
        takeRequest(Idempotency.NOT_IDEMPOTENT);
        assertEquals(List.of(), beginAttempt(0, 0));
        assertEquals(List.of(Violation.SENT_TWICE), beginAttempt(MS, 1));
        monitor.ended(REQUEST, 0, false);
        monitor.ended(REQUEST, 1, true);
        assertEquals(List.of(Violation.SENT_TWICE), beginAttempt(2 * MS, 2));
    }

    @Test
    void nonIdempotentRequestThatDidNotRunMayBeginAgain() {
        takeRequest(Idempotency.NOT_IDEMPOTENT);
        beginAttempt(0, 0);
        monitor.ended(REQUEST, 0, false);
        assertEquals(List.of(), beginAttempt(MS, 1));
    }

    @Test
    void requestWithIdempotencyKeyMayBeginAgainOnlyWithinItsDeduplicationWindow() {
        takeRequest(Idempotency.IDEMPOTENCY_KEY);
        beginAttempt(0, 0);
        monitor.ended(REQUEST, 0, true);
        assertEquals(List.of(), beginAttempt(WINDOW, 1));
        assertEquals(List.of(Violation.SENT_TWICE), beginAttempt(WINDOW + 250 * MS, 2));
    }

    @Test
    void idempotentRequestMayBeginAgain() {
        takeRequest(Idempotency.IDEMPOTENT);
        beginAttempt(0, 0);
        assertEquals(List.of(), beginAttempt(MS, 1));
    }

    @Test
    void noAttemptMayBeginOnceItsRequestIsOver() {
        takeRequest(Idempotency.IDEMPOTENT);
        beginAttempt(0, 0);
        monitor.over(REQUEST);
        assertEquals(List.of(Violation.SENT_AFTER_END), beginAttempt(MS, 1));
    }

    @Test
    void timeoutSentToAHostMayNotExceedTheRemainingTimeOfTheClient() {
        takeRequest(Idempotency.IDEMPOTENT);
        assertEquals(List.of(), beginAttempt(SECOND, 0, SECOND + 150 * MS));
        assertEquals(List.of(Violation.WAIT_TOO_LONG), beginAttempt(SECOND, 1, SECOND + 151 * MS));
    }

    @Test
    void noAttemptMayBeginAtADrainingHostAfterTheGracePeriod() {
        takeRequest(Idempotency.IDEMPOTENT);
        monitor.listed(0, HOST, true);
        assertEquals(List.of(), beginAttempt(GRACE, 0, MS));
        monitor.listed(GRACE, HOST, true);
        assertEquals(List.of(Violation.SENT_TO_DRAINING), beginAttempt(GRACE + 201 * MS, 1, MS));
        monitor.listed(GRACE + 202 * MS, HOST, false);
        assertEquals(List.of(), beginAttempt(GRACE + 203 * MS, 2, MS));
    }

    @Test
    void lateAnswerAndSecondAnswerAreViolations() {
        takeRequest(Idempotency.IDEMPOTENT);
        beginAttempt(0, 0);
        assertEquals(
                List.of(new Finding(Violation.ANSWERED_LATE, REQUEST, "")),
                monitor.answered(2 * SECOND + 501 * MS, REQUEST));
        assertEquals(2, monitor.answered(2 * SECOND + 502 * MS, REQUEST).size());
    }

    @Test
    void requestIsForgottenOnceItAndItsAttemptsAreOver() {
        takeRequest(Idempotency.IDEMPOTENT);
        beginAttempt(0, 0);
        monitor.answered(MS, REQUEST);
        assertEquals(1, monitor.watched());
        monitor.ended(REQUEST, 0, true);
        assertEquals(0, monitor.watched());
    }
}
