package mintstair.decision;

/** How an attempt or a health check ended. */
public enum AttemptOutcome {
    /** The host served it. */
    SUCCESS,
    /** The host replied with an error. */
    ERROR,
    /** The host rejected it for lack of capacity. */
    OVERLOADED,
    /** No reply arrived in time. */
    TIMEOUT,
    /** The request did not reach the host. */
    UNREACHABLE,
    /** The connection broke after the request was sent. */
    CONNECTION_RESET,
    /** The router cancelled it. */
    CANCELLED,
    /** It ended before it was sent. */
    NOT_SENT,
    /** A write reached a host that is not the primary, or a read one that lags too far behind: nothing was executed. */
    MISDIRECTED;

    /** Returns whether it is certain that the host did not execute the request. */
    public boolean hadNoEffect() {
        return this == OVERLOADED || this == UNREACHABLE || this == NOT_SENT || this == MISDIRECTED;
    }
}
