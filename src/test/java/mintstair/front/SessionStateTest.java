package mintstair.front;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests the transitions that the documentation of {@link SessionState} specifies. */
class SessionStateTest {
    @ParameterizedTest
    @CsvSource({
        "OPEN,        DRAIN,       DRAINING",
        "OPEN,        INPUT_ERROR, FAILING",
        "OPEN,        TERMINATE,   TERMINATING",
        "OPEN,        LINGER,      OPEN",
        "OPEN,        CLOSE,       CLOSED",
        "DRAINING,    DRAIN,       DRAINING",
        "DRAINING,    INPUT_ERROR, FAILING",
        "DRAINING,    TERMINATE,   TERMINATING",
        "DRAINING,    LINGER,      LINGERING",
        "DRAINING,    CLOSE,       CLOSED",
        "FAILING,     DRAIN,       FAILING",
        "FAILING,     INPUT_ERROR, FAILING",
        "FAILING,     TERMINATE,   TERMINATING",
        "FAILING,     LINGER,      LINGERING",
        "FAILING,     CLOSE,       CLOSED",
        "TERMINATING, DRAIN,       TERMINATING",
        "TERMINATING, INPUT_ERROR, TERMINATING",
        "TERMINATING, TERMINATE,   TERMINATING",
        "TERMINATING, LINGER,      LINGERING",
        "TERMINATING, CLOSE,       CLOSED",
        "LINGERING,   DRAIN,       LINGERING",
        "LINGERING,   INPUT_ERROR, LINGERING",
        "LINGERING,   TERMINATE,   LINGERING",
        "LINGERING,   LINGER,      LINGERING",
        "LINGERING,   CLOSE,       CLOSED",
        "CLOSED,      DRAIN,       CLOSED",
        "CLOSED,      INPUT_ERROR, CLOSED",
        "CLOSED,      TERMINATE,   CLOSED",
        "CLOSED,      LINGER,      CLOSED",
        "CLOSED,      CLOSE,       CLOSED",
    })
    void eventLeadsToTheDocumentedState(SessionState from, SessionState.Event event, SessionState to) {
        assertEquals(to, from.after(event));
    }

    @ParameterizedTest
    @CsvSource({
        "OPEN,        true",
        "DRAINING,    true",
        "FAILING,     true",
        "TERMINATING, false",
        "LINGERING,   false",
        "CLOSED,      false",
    })
    void inputIsAcceptedUntilTheSessionTerminates(SessionState state, boolean accepts) {
        assertEquals(accepts, state.acceptsInput());
    }

    @ParameterizedTest
    @EnumSource(SessionState.class)
    void noEventReturnsToAnEarlierState(SessionState state) {
        for (SessionState.Event event : SessionState.Event.values()) {
            assertEquals(true, state.after(event).ordinal() >= state.ordinal(), state + " after " + event);
        }
    }
}
