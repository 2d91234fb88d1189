package mintstair.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class AttemptNumbersTest {
    private static final long REQUEST = 7;

    private final AttemptNumbers attempts = new AttemptNumbers();

    @BeforeEach
    void acceptRequest() {
        attempts.requestAccepted(REQUEST);
    }

    @Test
    void attemptsAreNumberedFromZeroWithinTheirRequest() {
        assertEquals(0, attempts.attemptStarted(REQUEST));
        assertEquals(1, attempts.attemptStarted(REQUEST));
    }

    @Test
    void requestIsKeptWhileItIsNotOver() {
        attempts.attemptStarted(REQUEST);
        attempts.attemptEnded(REQUEST, false);

        attempts.removeIfDone(REQUEST);

        assertEquals(1, attempts.size());
        assertEquals(1, attempts.attemptStarted(REQUEST));
    }

    @Test
    void requestThatIsOverIsKeptUntilAllItsAttemptsHaveEnded() {
        attempts.attemptStarted(REQUEST);
        attempts.attemptStarted(REQUEST);
        attempts.attemptEnded(REQUEST, true);
        attempts.removeIfDone(REQUEST);
        assertEquals(1, attempts.size());

        attempts.attemptEnded(REQUEST, false);
        attempts.removeIfDone(REQUEST);

        assertEquals(0, attempts.size());
    }

    @Test
    void methodsReturnFalseForRemovedRequest() {
        assertTrue(attempts.requestOver(REQUEST));
        attempts.removeIfDone(REQUEST);

        assertFalse(attempts.requestOver(REQUEST));
        assertFalse(attempts.attemptEnded(REQUEST, true));
    }
}
