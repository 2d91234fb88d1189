package mintstair.discovery.pace;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import mintstair.discovery.pace.WatchPacing.Failure;
import org.junit.jupiter.api.Test;

/**
 * Tests the pacing against the deadlines by which a proxy must apply a change, for fleets of up to 1,024 proxies. All
 * times are in microseconds.
 */
class WatchPacingTest {
    private static final long GRACE = 1_000_000;
    /** The time for connecting, for a response, and for scheduling delays in the proxy. */
    private static final long RECONNECT_TIME = 100_000;

    @Test
    void failedLocalAgentIsPolledAgainWithinTheGracePeriod() {
        for (long grace : new long[] {500_000, GRACE, 2 * GRACE, 30 * GRACE}) {
            WatchPacing pacing = WatchPacing.forLocalAgent(grace, new Random(1));
            for (int n = 0; n < 50; n++) {
                Failure failure = n % 2 == 0 ? Failure.CONNECTION_LOST : Failure.REJECTED;
                assertTrue(pacing.retryDelayMicros(failure) + RECONNECT_TIME <= grace / 2, "grace period " + grace);
            }
            pacing.recordSuccess();
            assertTrue(pacing.retryDelayMicros(Failure.CONNECTION_LOST) <= 10_000);
        }
    }

    @Test
    void missingResponseOfALocalAgentIsDetectedWithinTheGracePeriod() {
        for (long grace : new long[] {500_000, GRACE, 2 * GRACE, 30 * GRACE}) {
            WatchPacing pacing = WatchPacing.forLocalAgent(grace, new Random(1));
            long overdue = pacing.responseTimeoutMicros(pacing.pollWaitMicros(true));
            long overdueUnconfirmed = pacing.responseTimeoutMicros(pacing.pollWaitMicros(false));
            assertTrue(
                    overdueUnconfirmed <= pacing.responseTimeoutMicros(0) + 1_000,
                    "an agent that has not responded yet is not given a wait");
            assertTrue(overdue + RECONNECT_TIME <= grace, "grace period " + grace);
            assertTrue(overdue <= 3_000_000, "limit for long grace periods, at " + grace);
        }
    }

    @Test
    void localAgentIsPolledAtMostTenTimesASecondWithAMissingOrShortGracePeriod() {
        assertEquals(
                WatchPacing.forLocalAgent(GRACE, new Random(1)).pollWaitMicros(true),
                WatchPacing.forLocalAgent(0, new Random(1)).pollWaitMicros(true));
        assertEquals(100_000, WatchPacing.forLocalAgent(1, new Random(1)).pollWaitMicros(true));
    }

    /**
     * If a poll gets no response, the proxy must apply a removal within the grace period, which starts 2 s after the
     * end of the wait.
     */
    @Test
    void sharedServiceWithAMissingResponseIsPolledAgainWithinTheGracePeriod() {
        for (int proxies : new int[] {3, 100, 1024}) {
            WatchPacing pacing = WatchPacing.forSharedService(proxies, 120, new Random(proxies));
            assertTrue(pacing.pollWaitMicros(false) <= 2_000_000, "the wait is short after a failure");
            for (boolean confirmed : new boolean[] {true, false}) {
                long wait = pacing.pollWaitMicros(confirmed);
                long retryAt =
                        pacing.responseTimeoutMicros(wait) + pacing.retryDelayMicros(pacing.timeoutFailure(wait));
                assertTrue(retryAt + RECONNECT_TIME <= wait + 2_000_000 + GRACE);
                pacing.recordSuccess();
            }
            for (int n = 0; n < 50; n++) {
                assertTrue(pacing.retryDelayMicros(Failure.CONNECTION_LOST) <= 1_000_000);
            }
        }
    }

    @Test
    void retryAfterAnyFailureMeetsTheNotificationDeadline() {
        for (int proxies : new int[] {3, 30, 120, 1024}) {
            WatchPacing pacing = WatchPacing.forSharedService(proxies, 1024, new Random(proxies));
            long deadline = WatchPacing.NOTIFICATION_DEADLINE_MICROS;
            for (int n = 0; n < 200; n++) {
                long overdueSnapshot = pacing.responseTimeoutMicros(0);
                long overdueDelta = pacing.responseTimeoutMicros(pacing.pollWaitMicros(false));
                assertTrue(pacing.retryDelayMicros(Failure.REJECTED) + 10 * RECONNECT_TIME <= deadline);
                assertTrue(
                        overdueSnapshot + pacing.retryDelayMicros(Failure.TIMED_OUT) + 4 * RECONNECT_TIME <= deadline);
                assertTrue(overdueDelta + pacing.retryDelayMicros(Failure.CONNECTION_LOST) + 10 * RECONNECT_TIME
                        <= deadline);
            }
        }
    }

    @Test
    void retriesAreSpreadWidelyOnlyAfterRejectionsByASharedService() {
        WatchPacing shared = WatchPacing.forSharedService(100, 120, new Random(1));
        WatchPacing local = WatchPacing.forLocalAgent(GRACE, new Random(1));
        long longestSharedDelay = 0;
        for (int n = 0; n < 50; n++) {
            longestSharedDelay = Math.max(longestSharedDelay, shared.retryDelayMicros(Failure.REJECTED));
            assertTrue(local.retryDelayMicros(Failure.REJECTED) <= GRACE / 4);
        }
        assertTrue(longestSharedDelay > 4_000_000, "longest delay " + longestSharedDelay);
        assertEquals(Failure.TIMED_OUT, shared.timeoutFailure(0));
    }
}
