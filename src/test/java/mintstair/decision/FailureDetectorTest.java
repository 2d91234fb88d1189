package mintstair.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests when an endpoint becomes unresponsive, and when it becomes responsive again. */
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
    void replyBetweenTwoFailuresKeepsTheEndpointResponsive() {
        detector.endpointUnreachable(SECOND, endpoint);
        detector.endpointReplied(SECOND, endpoint, false);
        detector.endpointUnreachable(SECOND, endpoint);
        assertFalse(endpoint.liveness.isUnresponsive());
    }

    @Test
    void unreachableEndpointThatAnswersAgainIsInSlowStart() {
        detector.endpointUnreachable(SECOND, endpoint);
        detector.endpointUnreachable(SECOND, endpoint);
        detector.endpointReplied(2 * SECOND, endpoint, false);
        assertFalse(endpoint.liveness.isUnresponsive());
        assertTrue(endpoint.slowStart.isActive());
    }

    /** Leaves this many requests in flight without a reply for 5 s. */
    private void missReplies(int inFlight) {
        endpoint.inFlight = inFlight;
        detector.accrueMissedReplies(0, endpoint);
        endpoint.inFlight = inFlight;
        detector.checkForMissedReplies(5 * SECOND, endpoint, classes.replyTimeout());
    }

    @Test
    void endpointThatAnswersNoneOfSeveralRequestsIsUnresponsive() {
        missReplies(3);
        assertTrue(endpoint.liveness.isUnresponsive());
    }

    @Test
    void singleUnansweredRequestDoesNotMakeAnEndpointUnresponsive() {
        missReplies(1);
        assertFalse(endpoint.liveness.isUnresponsive());
    }

    @Test
    void primaryWhoseReplicasAdvanceIsNotUnresponsive() {
        replicaSet.primary = endpoint;
        replicaSet.newestPosition = 5 * SECOND;
        missReplies(3);
        assertFalse(endpoint.liveness.isUnresponsive());
    }

    @Test
    void repliesMissedDuringAPauseOfTheProcessAreNotCounted() {
        clock.timerFired(5 * SECOND, SECOND);
        missReplies(3);
        assertFalse(endpoint.liveness.isUnresponsive());
    }

    @Test
    void hungEndpointThatAnswersHealthChecksStaysUnresponsiveFor5Seconds() {
        missReplies(3);
        detector.endpointReplied(6 * SECOND, endpoint, false);
        assertTrue(endpoint.liveness.isUnresponsive());
        detector.endpointReplied(11 * SECOND, endpoint, false);
        assertFalse(endpoint.liveness.isUnresponsive());
    }

    @Test
    void afterAFailedConnectOnlyEndpointsThatAnsweredRecentlyAreTrusted() {
        assertTrue(detector.isTrusted(SECOND, endpoint));
        detector.endpointUnreachable(SECOND, endpoint);
        assertFalse(detector.isTrusted(SECOND, endpoint));
        detector.endpointReplied(2 * SECOND, endpoint, false);
        assertTrue(detector.isTrusted(2 * SECOND, endpoint));
    }

    @Test
    void lostHealthCheckIsNotCountedIfTheEndpointAnsweredSinceItWasSent() {
        endpoint.healthCheck.sentAt = SECOND;
        endpoint.liveness.clearMissedReplies(SECOND);
        detector.healthCheckUnanswered(2 * SECOND, endpoint);
        assertEquals(0, endpoint.liveness.consecutiveUnreachable);
        endpoint.healthCheck.sentAt = SECOND + 1;
        detector.healthCheckUnanswered(2 * SECOND, endpoint);
        assertEquals(1, endpoint.liveness.consecutiveUnreachable);
    }
}
