package mintstair.request;

/**
 * Every way in which what was sent on a connection can end. Network code reports one of these and nothing else; the
 * routing package maps, in one place, each to what it means to the decisions. The names of the constants are part of
 * metric names.
 */
public enum ConnectionEnd {
    /** The host replied with its value. */
    SERVED,
    /**
     * The host replied with its value and sent more than belongs to it: the reply counts, the connection was closed.
     */
    SERVED_AND_MORE,
    /** A write met a host that is no primary, or a read one that is too far behind: nothing ran. */
    MISS,
    /** The host replied with an error: it may have run. */
    HOST_ERROR,
    /** The host rejected it before running any of it. */
    TURNED_AWAY,
    /** The connection was refused, or broke before it was ready. */
    CONNECT_FAILED,
    /** The connection was not ready in time. */
    CONNECT_TIMEOUT,
    /** The connection broke before the last byte of the request was written. */
    BROKEN_BEFORE_WRITTEN,
    /** The connection broke, or ended, after the last byte of the request was written. */
    BROKEN_AFTER_WRITTEN,
    /** The host sent bytes that are no reply, or one larger than the limit; the connection was closed. */
    GARBLED,
    /** The host replied to a health check with a report that cannot be parsed; the connection was closed. */
    REPORT_UNREADABLE,
    /** No reply came before the proxy stopped waiting. */
    TIMED_OUT,
    /** The proxy cancelled it after it was written. */
    CALLED_OFF,
    /** It never left the proxy. */
    NEVER_SENT;

    /** Whether the host replied with a value, which can be the request's answer. */
    public boolean isServed() {
        return this == SERVED || this == SERVED_AND_MORE;
    }
}
