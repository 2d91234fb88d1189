package mintstair.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import mintstair.decision.InvariantMonitor.Finding;
import mintstair.decision.InvariantMonitor.Violation;
import org.junit.jupiter.api.Test;

/** The monitor finds each broken rule, and nothing where the rules are kept to their last moment. */
class InvariantMonitorTest {
    private static final long MS = 1_000;
    private static final long SECOND = 1_000 * MS;
    private static final long GRACE = SECOND;
    private static final long WINDOW = 300 * MS;
    private static final long REQUEST = 7;
    private static final String HOST = "h";

    private final InvariantMonitor monitor = new InvariantMonitor();

    private void taken(Idempotency idempotency) {
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

    private List<Violation> begun(long now, int attempt) {
        return begun(now, attempt, SECOND);
    }

    private List<Violation> begun(long now, int attempt, long wait) {
        return monitor.attemptStarted(now, REQUEST, attempt, HOST, wait, GRACE).stream()
                .map(Finding::violation)
                .toList();
    }

    @Test
    void unsafeRequestMayNotBeginAgainWhileItIsOutOrMayHaveRun() {
        taken(Idempotency.NOT_IDEMPOTENT);
        assertEquals(List.of(), begun(0, 0));
        assertEquals(List.of(Violation.SENT_TWICE), begun(MS, 1));
        monitor.attemptEnded(REQUEST, 0, false);
        monitor.attemptEnded(REQUEST, 1, true);
        assertEquals(List.of(Violation.SENT_TWICE), begun(2 * MS, 2));
    }

    @Test
    void unsafeRequestThatNeverRanMayBeginAgain() {
        taken(Idempotency.NOT_IDEMPOTENT);
        begun(0, 0);
        monitor.attemptEnded(REQUEST, 0, false);
        assertEquals(List.of(), begun(MS, 1));
    }

    @Test
    void keyedRequestMayBeginAgainWithinItsWindow() {
        taken(Idempotency.IDEMPOTENCY_KEY);
        begun(0, 0);
        monitor.attemptEnded(REQUEST, 0, true);
        assertEquals(List.of(), begun(WINDOW, 1));
        assertEquals(List.of(Violation.SENT_TWICE), begun(WINDOW + 250 * MS, 2));
    }

    @Test
    void safeRequestMayBeginAgain() {
        taken(Idempotency.IDEMPOTENT);
        begun(0, 0);
        assertEquals(List.of(), begun(MS, 1));
    }

    @Test
    void nothingBeginsOnceTheRequestIsOver() {
        taken(Idempotency.IDEMPOTENT);
        begun(0, 0);
        monitor.requestClosed(REQUEST);
        assertEquals(List.of(Violation.SENT_AFTER_END), begun(MS, 1));
    }

    @Test
    void hostIsToldNoMoreTimeThanTheClientHas() {
        taken(Idempotency.IDEMPOTENT);
        assertEquals(List.of(), begun(SECOND, 0, SECOND + 150 * MS));
        assertEquals(List.of(Violation.WAIT_TOO_LONG), begun(SECOND, 1, SECOND + 151 * MS));
    }

    @Test
    void nothingBeginsAtADrainingHostAfterItsGrace() {
        taken(Idempotency.IDEMPOTENT);
        monitor.hostListed(0, HOST, true);
        assertEquals(List.of(), begun(GRACE, 0, MS));
        monitor.hostListed(GRACE, HOST, true);
        assertEquals(List.of(Violation.SENT_TO_DRAINING), begun(GRACE + 201 * MS, 1, MS));
        monitor.hostListed(GRACE + 202 * MS, HOST, false);
        assertEquals(List.of(), begun(GRACE + 203 * MS, 2, MS));
    }

    @Test
    void answersAreGivenOnceAndInTime() {
        taken(Idempotency.IDEMPOTENT);
        begun(0, 0);
        assertEquals(
                List.of(new Finding(Violation.ANSWERED_LATE, REQUEST, "")),
                monitor.requestAnswered(2 * SECOND + 501 * MS, REQUEST));
        assertEquals(2, monitor.requestAnswered(2 * SECOND + 502 * MS, REQUEST).size());
    }

    @Test
    void requestsAreForgottenOnceTheyAndTheirAttemptsAreOver() {
        taken(Idempotency.IDEMPOTENT);
        begun(0, 0);
        monitor.requestAnswered(MS, REQUEST);
        assertEquals(1, monitor.openRequests());
        monitor.attemptEnded(REQUEST, 0, true);
        assertEquals(0, monitor.openRequests());
    }
}
