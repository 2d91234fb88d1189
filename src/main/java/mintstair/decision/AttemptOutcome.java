package mintstair.decision;

/** How an attempt ended. */
public enum AttemptOutcome {
    SUCCESS,
    ERROR,
    OVERLOADED,
    TIMEOUT,
    UNREACHABLE,
    CONNECTION_RESET,
    CANCELLED,
    NOT_SENT,
    MISDIRECTED;

    /** Whether it is certain that the host did nothing for it. */
    public boolean hadNoEffect() {
        return this == OVERLOADED || this == UNREACHABLE || this == NOT_SENT || this == MISDIRECTED;
    }
}
