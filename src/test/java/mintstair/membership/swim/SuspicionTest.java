package mintstair.membership.swim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class SuspicionTest {
    private static final int CLUSTER_SIZE = 10;
    private static final SwimSettings SETTINGS = SwimSettings.forLocalNetwork(CLUSTER_SIZE);
    private static final long MIN_MICROS = SETTINGS.minSuspicionMicros(CLUSTER_SIZE);
    private static final long MAX_MICROS = SETTINGS.maxSuspicionMicros(CLUSTER_SIZE);

    private final Suspicion suspicion = new Suspicion(SETTINGS, CLUSTER_SIZE, "first");

    @Test
    void lastsForTheMaximumTimeoutWithoutConfirmations() {
        assertEquals(1_000 + MAX_MICROS, suspicion.deadlineMicros(1_000));
    }

    @Test
    void eachConfirmationShortensTheTimeoutDownToTheMinimum() {
        assertTrue(suspicion.confirm("second"));
        long afterOne = suspicion.deadlineMicros(0);
        assertTrue(afterOne < MAX_MICROS && afterOne > MIN_MICROS, "after one confirmation: " + afterOne);

        assertTrue(suspicion.confirm("third"));
        assertEquals(MIN_MICROS, suspicion.deadlineMicros(0));
    }

    @Test
    void eachMemberIsCountedOnlyOnce() {
        assertFalse(suspicion.confirm("first"));
        assertEquals(MAX_MICROS, suspicion.deadlineMicros(0));
    }

    @Test
    void confirmationsBeyondTheMaximumAreRejected() {
        suspicion.confirm("second");
        suspicion.confirm("third");

        assertFalse(suspicion.confirm("fourth"));
    }

    @Test
    void endsEarlyIfTheProcessHasEnded() {
        suspicion.onProcessGone(500);
        suspicion.onProcessGone(700);
        assertEquals(500, suspicion.deadlineMicros(0), "the earliest deadline applies");

        suspicion.clearProcessGone();
        assertEquals(MAX_MICROS, suspicion.deadlineMicros(0));
    }
}
