package mintstair.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Which requests may be sent again, how long they may wait, and what a rejected client is told. */
class RetryPolicyTest {
    private static final long MS = Bed.MS;
    private static final long TIMEOUT = 2_000 * MS;

    private final RouterSettings settings = new Bed().settings();
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
        assertTrue(retries.canSend(MS, afterOneThatMayHaveRun(Bed.ANY)));
        assertFalse(retries.canSend(MS, afterOneThatMayHaveRun(Bed.UNSAFE_WRITE)));
    }

    @Test
    void requestWithIdempotencyKeyIsSentAgainWithinItsDeduplicationWindow() {
        InFlightRequest request = afterOneThatMayHaveRun(Bed.KEYED_WRITE);
        assertTrue(retries.canSend(884 * MS, request));
        assertFalse(retries.canSend(885 * MS, request));
        assertEquals(885 * MS, RetryPolicy.beginBy(MS, request));
    }

    @Test
    void nothingIsSentRightBeforeTheDeadline() {
        assertTrue(retries.canSend(TIMEOUT - 16 * MS, request(Bed.ANY)));
        assertFalse(retries.canSend(TIMEOUT - 15 * MS, request(Bed.ANY)));
    }

    @Test
    void attemptsAreBounded() {
        InFlightRequest request = request(Bed.ANY);
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
        assertTrue(RetryPolicy.isSafeToRepeat(request(Bed.UNSAFE_WRITE)));
        assertFalse(RetryPolicy.isSafeToRepeat(afterOneThatMayHaveRun(Bed.UNSAFE_WRITE)));
        assertFalse(RetryPolicy.isSafeToRepeat(afterOneThatMayHaveRun(Bed.KEYED_WRITE)));
        assertTrue(RetryPolicy.isSafeToRepeat(afterOneThatMayHaveRun(Bed.ANY)));
    }

    @Test
    void clientComesBackWithinItsObjectiveOrElseLate() {
        assertEquals(75 * MS, retries.retryAfter(0, request(Bed.ANY)));
        assertEquals(500 * MS, retries.retryAfter(200 * MS, request(Bed.ANY)));
    }

    @Test
    void unsentRequestIsHeldForLessThanHalfOfItsTime() {
        InFlightRequest write = request(Bed.UNSAFE_WRITE);
        assertEquals(900 * MS, QueueingPolicy.queueDeadline(write, false));
        write.attemptStarted(0, endpoint);
        assertEquals(TIMEOUT - 15 * MS, QueueingPolicy.queueDeadline(write, false));
        assertEquals(800 * MS, QueueingPolicy.queueDeadline(write, true));
    }

    @Test
    void pendingRequestsAreServedByPriorityAndThenInOrder() {
        InFlightRequest low = request(Bed.BOUNDED);
        InFlightRequest firstHigh = request(Bed.ANY);
        InFlightRequest secondHigh = request(Bed.ANY);
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
        InFlightRequest request = request(Bed.ANY);
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
        InFlightRequest request = request(Bed.ANY);
        request.attemptStarted(10 * MS, endpoint);
        assertEquals(175 * MS, hedging.stuckAt(request));
        assertTrue(hedging.canCancelAt(endpoint));
    }
}
