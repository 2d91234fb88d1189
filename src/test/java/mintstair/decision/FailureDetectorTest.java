package mintstair.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** When an endpoint counts as unresponsive, and when no longer. */
class FailureDetectorTest {
    private static final long MS = RouterFixture.MS;
    private static final long SECOND = 1_000 * MS;

    private final RouterFixture fixture = new RouterFixture();
    private final RouterSettings settings = fixture.settings();
    private final RequestClassTable classes = new RequestClassTable();
    private final RouterClock clock = new RouterClock(0);
    private final PositionClock positions = new PositionClock();
    private final PooledLimits pooled = PooledLimits.create(1);
    private final ReplicaSet replicaSet = new ReplicaSet(0, pooled.newReplicaLimit(1));
    private final Endpoint endpoint = new Endpoint("a", replicaSet, pooled.newPrimaryLimit(1), 0);
    private final List<String> unresponsive = new ArrayList<>();
    private final FailureDetector detector = new FailureDetector(
            () -> settings,
            classes,
            clock,
            positions,
            new SlowStartController(() -> settings, positions, fixture),
            fixture,
            (now, failed) -> unresponsive.add(failed.name));

    FailureDetectorTest() {
        classes.apply(settings);
        replicaSet.members.add(endpoint);
        endpoint.listed(0, EndpointState.SERVING, false);
    }

    @Test
    void endpointThatIsUnreachableTwiceInARowIsUnresponsive() {
        detector.endpointUnreachable(SECOND, endpoint);
        assertFalse(endpoint.liveness.isUnresponsive());
        detector.endpointUnreachable(SECOND, endpoint);
        assertTrue(endpoint.liveness.isUnresponsive());
        assertEquals(List.of("a"), unresponsive);
    }

    @Test
    void answerBetweenTwoFailuresKeepsTheEndpointInUse() {
        detector.endpointUnreachable(SECOND, endpoint);
        detector.endpointReplied(SECOND, endpoint, false);
        detector.endpointUnreachable(SECOND, endpoint);
        assertFalse(endpoint.liveness.isUnresponsive());
    }

    @Test
    void unreachableEndpointComesBackInSlowStart() {
        detector.endpointUnreachable(SECOND, endpoint);
        detector.endpointUnreachable(SECOND, endpoint);
        detector.endpointReplied(2 * SECOND, endpoint, false);
        assertFalse(endpoint.liveness.isUnresponsive());
        assertTrue(endpoint.slowStart.isActive());
    }

    private void missAnswers(int inFlight) {
        endpoint.inFlight = inFlight;
        detector.accrueMissedReplies(0, endpoint);
        endpoint.inFlight = inFlight;
        detector.checkForMissedReplies(5 * SECOND, endpoint, classes.replyTimeout());
    }

    @Test
    void endpointThatAnswersNoneOfSeveralRequestsIsUnresponsive() {
        missAnswers(3);
        assertTrue(endpoint.liveness.isUnresponsive());
    }

    @Test
    void oneLongRequestProvesNothing() {
        missAnswers(1);
        assertFalse(endpoint.liveness.isUnresponsive());
    }

    @Test
    void primaryWhoseReplicasAdvanceIsSlowButNotLost() {
        replicaSet.primary = endpoint;
        replicaSet.newestPosition = 5 * SECOND;
        missAnswers(3);
        assertFalse(endpoint.liveness.isUnresponsive());
    }

    @Test
    void answersMissedWhileTheProcessWasPausedCountForNothing() {
        clock.timerFired(5 * SECOND, SECOND);
        missAnswers(3);
        assertFalse(endpoint.liveness.isUnresponsive());
    }

    @Test
    void hungEndpointThatAnswersHealthChecksStaysOutForAWhile() {
        missAnswers(3);
        detector.endpointReplied(6 * SECOND, endpoint, false);
        assertTrue(endpoint.liveness.isUnresponsive());
        detector.endpointReplied(11 * SECOND, endpoint, false);
        assertFalse(endpoint.liveness.isUnresponsive());
    }

    @Test
    void afterSignsOfLossOnlyEndpointsHeardOfLatelyAreTrusted() {
        assertTrue(detector.isTrusted(SECOND, endpoint));
        detector.endpointUnreachable(SECOND, endpoint);
        assertFalse(detector.isTrusted(SECOND, endpoint));
        detector.endpointReplied(2 * SECOND, endpoint, false);
        assertTrue(detector.isTrusted(2 * SECOND, endpoint));
    }

    @Test
    void lostHealthCheckProvesNothingAgainstAnEndpointThatAnsweredSince() {
        endpoint.healthCheck.sentAt = SECOND;
        endpoint.liveness.clearMissedReplies(SECOND);
        detector.healthCheckUnanswered(2 * SECOND, endpoint);
        assertEquals(0, endpoint.liveness.consecutiveUnreachable);
        endpoint.healthCheck.sentAt = SECOND + 1;
        detector.healthCheckUnanswered(2 * SECOND, endpoint);
        assertEquals(1, endpoint.liveness.consecutiveUnreachable);
    }
}
