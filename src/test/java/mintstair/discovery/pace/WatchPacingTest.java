package mintstair.discovery.pace;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import mintstair.discovery.pace.WatchPacing.Failure;
import org.junit.jupiter.api.Test;

/** The pacing against the deadlines by which a proxy is held to a removal, at one of 100 and of 1,024 proxies. */
class WatchPacingTest {
    private static final long GRACE = 1_000_000;
    /** For connecting and a response, and for the delay of this proxy's own threads. */
    private static final long RECONNECT = 100_000;

    @Test
    void failedLocalAgentIsPolledAgainWithinTheGracePeriod() {
        for (long grace : new long[] {500_000, GRACE, 2 * GRACE, 30 * GRACE}) {
            WatchPacing pacing = WatchPacing.forLocalAgent(grace, new Random(1));
            for (int n = 0; n < 50; n++) {
                Failure failure = n % 2 == 0 ? Failure.CONNECTION_LOST : Failure.REJECTED;
                assertTrue(pacing.retryDelayMicros(failure) + RECONNECT <= grace / 2, grace + "");
            }
            pacing.recordSuccess();
            assertTrue(pacing.retryDelayMicros(Failure.CONNECTION_LOST) <= 10_000);
        }
    }

    @Test
    void silentLocalAgentIsNoticedWithinTheGracePeriod() {
        for (long grace : new long[] {500_000, GRACE, 2 * GRACE, 30 * GRACE}) {
            WatchPacing pacing = WatchPacing.forLocalAgent(grace, new Random(1));
            long overdue = pacing.responseTimeoutMicros(pacing.pollWaitMicros(true));
            long overdueUnconfirmed = pacing.responseTimeoutMicros(pacing.pollWaitMicros(false));
            assertTrue(
                    overdueUnconfirmed <= pacing.responseTimeoutMicros(0) + 1_000, "at once before its first response");
            assertTrue(overdue + RECONNECT <= grace, grace + "");
            assertTrue(overdue <= 3_000_000, "also where the grace period is long: " + grace);
        }
    }

    @Test
    void missingOrTooShortGracePeriodPollsAtMostTenTimesASecond() {
        assertEquals(
                WatchPacing.forLocalAgent(GRACE, new Random(1)).pollWaitMicros(true),
                WatchPacing.forLocalAgent(0, new Random(1)).pollWaitMicros(true));
        assertEquals(100_000, WatchPacing.forLocalAgent(1, new Random(1)).pollWaitMicros(true));
    }

    /** A proxy is held to a removal 2 s after the end of the wait of a silent poll, plus the grace period. */
    @Test
    void silentSharedServiceIsPolledAgainBeforeTheProxyIsHeldToARemoval() {
        for (int proxies : new int[] {3, 100, 1024}) {
            WatchPacing pacing = WatchPacing.forSharedService(proxies, 120, new Random(proxies));
            assertTrue(pacing.pollWaitMicros(false) <= 2_000_000, "after a failure a silence shows soon");
            for (boolean confirmed : new boolean[] {true, false}) {
                long wait = pacing.pollWaitMicros(confirmed);
                long retryAt =
                        pacing.responseTimeoutMicros(wait) + pacing.retryDelayMicros(pacing.timeoutFailure(wait));
                assertTrue(retryAt + RECONNECT <= wait + 2_000_000 + GRACE);
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
                assertTrue(pacing.retryDelayMicros(Failure.REJECTED) + 10 * RECONNECT <= deadline);
                assertTrue(overdueSnapshot + pacing.retryDelayMicros(Failure.TIMED_OUT) + 4 * RECONNECT <= deadline);
                assertTrue(
                        overdueDelta + pacing.retryDelayMicros(Failure.CONNECTION_LOST) + 10 * RECONNECT <= deadline);
            }
        }
    }

    @Test
    void onlyRejectionsByASharedServiceAreSpreadWidely() {
        WatchPacing shared = WatchPacing.forSharedService(100, 120, new Random(1));
        WatchPacing local = WatchPacing.forLocalAgent(GRACE, new Random(1));
        long longestShared = 0;
        for (int n = 0; n < 50; n++) {
            longestShared = Math.max(longestShared, shared.retryDelayMicros(Failure.REJECTED));
            assertTrue(local.retryDelayMicros(Failure.REJECTED) <= GRACE / 4);
        }
        assertTrue(longestShared > 4_000_000, longestShared + "");
        assertEquals(Failure.TIMED_OUT, shared.timeoutFailure(0));
    }
}
