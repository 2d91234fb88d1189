package mintstair.request;

/**
 * Every way in which what was sent on a connection can end. Network code names one of these and nothing
 * else; the routing package says, in one place, what each means to the decisions.
 */
public enum ConnectionEnd {
    /** The host answered with its value. */
    SERVED,
    /** The host answered with its value and sent more than belongs to it: the answer stands, the connection was closed. */
    SERVED_AND_MORE,
    /** A write met a host that is no primary, or a read one that is too far behind: nothing ran. */
    MISS,
    /** The host answered with an error: it may have run. */
    HOST_ERROR,
    /** The host turned it away unseen. */
    TURNED_AWAY,
    /** The connection was refused, or broke before it was ready. */
    CONNECT_FAILED,
    /** The connection was not ready in time. */
    CONNECT_TIMEOUT,
    /** The connection broke before the last byte of the request was written. */
    BROKEN_BEFORE_WRITTEN,
    /** The connection broke, or ended, after the last byte of the request was written. */
    BROKEN_AFTER_WRITTEN,
    /** The host sent what is no answer, or one that claims more than any may hold; the connection was closed. */
    GARBLED,
    /** The host answered a probe with a report that cannot be read, which is no report; the connection was closed. */
    REPORT_UNREADABLE,
    /** No answer came before the proxy stopped waiting. */
    TIMED_OUT,
    /** The proxy called it off after it was written. */
    CALLED_OFF,
    /** It never left the proxy. */
    NEVER_SENT;

    /** Whether a value came that is the request's answer. */
    public boolean isServed() {
        return this == SERVED || this == SERVED_AND_MORE;
    }
}
