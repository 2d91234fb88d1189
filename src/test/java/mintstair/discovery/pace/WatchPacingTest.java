package mintstair.discovery.pace;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import mintstair.discovery.pace.WatchPacing.Failure;
import org.junit.jupiter.api.Test;

/** The times by which leavers count as told, at one of 100 and of 1,024 proxies. */
class WatchPacingTest {
    private static final long GRACE = 1_000_000;
    /** What it takes to connect and be answered, and what this proxy itself may be late by. */
    private static final long ANEW = 100_000;

    @Test
    void ownAgentThatIsSilentOrBreaksIsAskedAnewWithinTheGrace() {
        for (long grace : new long[] {500_000, GRACE, 2 * GRACE, 30 * GRACE}) {
            WatchPacing pace = WatchPacing.pushed(grace, new Random(1));
            long held = pace.held(true);
            assertTrue(
                    pace.missingAfter(pace.held(false)) <= pace.missingAfter(0) + 1_000,
                    "silence shows at once before it has answered");
            assertTrue(pace.missingAfter(held) + ANEW <= grace, grace + "");
            // Also where grace is long a silent watch is noticed long before what it misses counts.
            assertTrue(pace.missingAfter(held) <= 3_000_000, grace + "");
            for (int n = 0; n < 50; n++) {
                assertTrue(
                        pace.retry(n % 2 == 0 ? Failure.BROKEN : Failure.TURNED_AWAY) + ANEW <= grace / 2, grace + "");
            }
            pace.answered();
            assertTrue(pace.retry(Failure.BROKEN) <= 10_000);
        }
    }

    @Test
    void graceThatIsMissingOrTooShortAsksNoOftenerThanTenTimesASecond() {
        assertEquals(
                WatchPacing.pushed(GRACE, new Random(1)).held(true),
                WatchPacing.pushed(0, new Random(1)).held(true));
        assertEquals(100_000, WatchPacing.pushed(1, new Random(1)).held(true));
    }

    /** A watch that is silent counts 2 s after the time it was held for, any call after 6 s; a leaver may be sent to for the grace. */
    @Test
    void sharedServiceThatIsSilentOrBreaksIsAskedAnewBeforeItCounts() {
        for (int proxies : new int[] {3, 100, 1024}) {
            WatchPacing pace = WatchPacing.asked(proxies, 120, new Random(proxies));
            assertTrue(pace.held(false) <= 2_000_000, "after trouble a silence shows soon");
            for (boolean sure : new boolean[] {true, false}) {
                long held = pace.held(sure);
                assertTrue(pace.missingAfter(held) + pace.retry(pace.missing(held)) + ANEW <= held + 2_000_000 + GRACE);
                pace.answered();
            }
            for (int n = 0; n < 50; n++) {
                assertTrue(pace.retry(Failure.BROKEN) <= 1_000_000);
            }
        }
    }

    /** After any failure the next call, and its answer, are in time for what the service had from when it could be reached again. */
    @Test
    void nextCallAfterAnyFailureIsInTime() {
        for (int proxies : new int[] {3, 30, 120, 1024}) {
            WatchPacing pace = WatchPacing.asked(proxies, 1024, new Random(proxies));
            for (int n = 0; n < 200; n++) {
                assertTrue(pace.retry(Failure.TURNED_AWAY) + 10 * ANEW <= WatchPacing.COUNTS);
                assertTrue(pace.missingAfter(0) + pace.retry(Failure.GIVEN_UP) + 4 * ANEW <= WatchPacing.COUNTS);
                assertTrue(pace.missingAfter(pace.held(false)) + pace.retry(Failure.BROKEN) + 10 * ANEW
                        <= WatchPacing.COUNTS);
            }
        }
    }

    /** Calls that a busy service turned away are spread over all proxies, those to an own agent are not. */
    @Test
    void onlyWhatASharedServiceTurnsAwayIsSpread() {
        long longest = 0;
        WatchPacing shared = WatchPacing.asked(100, 120, new Random(1));
        WatchPacing own = WatchPacing.pushed(GRACE, new Random(1));
        for (int n = 0; n < 50; n++) {
            longest = Math.max(longest, shared.retry(Failure.TURNED_AWAY));
            assertTrue(own.retry(Failure.TURNED_AWAY) <= GRACE / 4);
        }
        assertTrue(longest > 4_000_000, longest + "");
        assertEquals(Failure.GIVEN_UP, shared.missing(0));
    }
}
