package mintstair.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Which requests may be sent again, how long they may wait, and what a rejected client is told. */
class RetryPolicyTest {
    private static final long MS = RouterFixture.MS;
    private static final long TIMEOUT = 2_000 * MS;

    private final RouterSettings settings = new RouterFixture().settings();
    private final PooledLimits pooled = PooledLimits.create(1);
    private final RetryPolicy retries = new RetryPolicy(() -> settings, pooled);
    private final RequestClassTable classes = new RequestClassTable();
    private final ReplicaSet replicaSet = new ReplicaSet(0, pooled.newReplicaLimit(1));
    private final Endpoint endpoint = new Endpoint("a", replicaSet, pooled.newPrimaryLimit(1), 0);

    RetryPolicyTest() {
        classes.apply(settings);
    }

    private InFlightRequest request(int classIndex) {
        RoutingRequest request = new RoutingRequest(1, classIndex, 0, "session", -1, false, TIMEOUT, Positions.UNKNOWN);
        int maxAttempts = settings.limits().maxAttempts();
        return new InFlightRequest(request, classes.get(classIndex), 0, Positions.UNKNOWN, false, 0.5, maxAttempts, 1);
    }

    /** A request of this class with one attempt that has ended and may have run. */
    private InFlightRequest afterOneThatMayHaveRun(int classIndex) {
        InFlightRequest request = request(classIndex);
        request.attemptStarted(0, endpoint);
        request.attemptEnded(0);
        request.markMayHaveRun(0);
        return request;
    }

    @Test
    void onlyIdempotentRequestsAreSentAgainAfterOneThatMayHaveRun() {
        assertTrue(retries.canSend(MS, afterOneThatMayHaveRun(RouterFixture.EVENTUAL_READ)));
        assertFalse(retries.canSend(MS, afterOneThatMayHaveRun(RouterFixture.NON_IDEMPOTENT_WRITE)));
    }

    @Test
    void requestWithIdempotencyKeyIsSentAgainWithinItsDeduplicationWindow() {
        InFlightRequest request = afterOneThatMayHaveRun(RouterFixture.IDEMPOTENCY_KEY_WRITE);
        assertTrue(retries.canSend(884 * MS, request));
        assertFalse(retries.canSend(885 * MS, request));
        assertEquals(885 * MS, RetryPolicy.beginBy(MS, request));
    }

    @Test
    void nothingIsSentRightBeforeTheDeadline() {
        assertTrue(retries.canSend(TIMEOUT - 16 * MS, request(RouterFixture.EVENTUAL_READ)));
        assertFalse(retries.canSend(TIMEOUT - 15 * MS, request(RouterFixture.EVENTUAL_READ)));
    }

    @Test
    void attemptsAreBounded() {
        InFlightRequest request = request(RouterFixture.EVENTUAL_READ);
        for (int attempt = 0; attempt < settings.limits().maxAttempts(); attempt++) {
            assertTrue(retries.canSend(MS, request));
            request.attemptStarted(0, endpoint);
            request.attemptEnded(attempt);
        }
        assertFalse(retries.canSend(MS, request));
    }

    @Test
    void onlyAttemptsThatCostSomethingArePaidFor() {
        assertTrue(retries.tryAcquireAfter(AttemptOutcome.ERROR));
        assertTrue(retries.tryAcquireAfter(AttemptOutcome.TIMEOUT));
        assertFalse(retries.tryAcquireAfter(AttemptOutcome.ERROR));
        assertTrue(retries.tryAcquireAfter(AttemptOutcome.MISDIRECTED));
        assertTrue(retries.tryAcquireAfter(AttemptOutcome.NOT_SENT));
    }

    @Test
    void rejectionIsPromisedToBeHarmlessOnlyWhereItIs() {
        assertTrue(RetryPolicy.isSafeToRepeat(request(RouterFixture.NON_IDEMPOTENT_WRITE)));
        assertFalse(RetryPolicy.isSafeToRepeat(afterOneThatMayHaveRun(RouterFixture.NON_IDEMPOTENT_WRITE)));
        assertFalse(RetryPolicy.isSafeToRepeat(afterOneThatMayHaveRun(RouterFixture.IDEMPOTENCY_KEY_WRITE)));
        assertTrue(RetryPolicy.isSafeToRepeat(afterOneThatMayHaveRun(RouterFixture.EVENTUAL_READ)));
    }

    @Test
    void clientComesBackWithinItsObjectiveOrElseLate() {
        assertEquals(75 * MS, retries.retryAfter(0, request(RouterFixture.EVENTUAL_READ)));
        assertEquals(500 * MS, retries.retryAfter(200 * MS, request(RouterFixture.EVENTUAL_READ)));
    }

    @Test
    void unsentRequestIsHeldForLessThanHalfOfItsTime() {
        InFlightRequest write = request(RouterFixture.NON_IDEMPOTENT_WRITE);
        assertEquals(900 * MS, QueueingPolicy.queueDeadline(write, false));
        write.attemptStarted(0, endpoint);
        assertEquals(TIMEOUT - 15 * MS, QueueingPolicy.queueDeadline(write, false));
        assertEquals(800 * MS, QueueingPolicy.queueDeadline(write, true));
    }

    @Test
    void pendingRequestsAreServedByPriorityAndThenInOrder() {
        InFlightRequest low = request(RouterFixture.BOUNDED_READ);
        InFlightRequest firstHigh = request(RouterFixture.EVENTUAL_READ);
        InFlightRequest secondHigh = request(RouterFixture.EVENTUAL_READ);
        replicaSet.pending.add(low);
        replicaSet.pending.add(firstHigh);
        replicaSet.pending.add(secondHigh);
        assertEquals(List.of(firstHigh, secondHigh, low), QueueingPolicy.takeAllByPriority(replicaSet));
        assertTrue(replicaSet.pending.isEmpty());
    }

    @Test
    void attemptIsStuckFarPastTheMeanOfItsClass() {
        RouterClock clock = new RouterClock(0);
        HedgingPolicy hedging = new HedgingPolicy(clock, new AnswerLossEstimator(pooled));
        InFlightRequest request = request(RouterFixture.EVENTUAL_READ);
        request.attemptStarted(10 * MS, endpoint);
        assertEquals(260 * MS, hedging.stuckAt(request));
    }

    @Test
    void attemptIsStuckEarlierWhileAnswersGetLost() {
        AnswerLossEstimator loss = new AnswerLossEstimator(pooled);
        for (int i = 0; i < 20; i++) {
            loss.record(true);
        }
        assertTrue(loss.isLosingReplies());
        HedgingPolicy hedging = new HedgingPolicy(new RouterClock(0), loss);
        InFlightRequest request = request(RouterFixture.EVENTUAL_READ);
        request.attemptStarted(10 * MS, endpoint);
        assertEquals(175 * MS, hedging.stuckAt(request));
        assertTrue(hedging.canCancelAt(endpoint));
    }
}
