package mintstair.request;

/**
 * The ways in which an attempt or a health check can end. Network code reports every end as one of these; the routing
 * package alone maps them to their meaning for routing decisions. The names of the constants are part of metric names.
 */
public enum ConnectionEnd {
    /** The host replied with a result. */
    SERVED,
    /** The host replied with a result, followed by surplus bytes: the reply is valid, and the connection was closed. */
    SERVED_AND_MORE,
    /** A write reached a host that is not the primary, or a read one that lags too far behind: nothing was executed. */
    MISS,
    /** The host replied with an error: the request may have been executed. */
    HOST_ERROR,
    /** The host rejected the request before executing any of it. */
    TURNED_AWAY,
    /** The connection was refused, or was lost before it was ready for requests. */
    CONNECT_FAILED,
    /** The connection was not ready for requests in time. */
    CONNECT_TIMEOUT,
    /** The connection was lost before the last byte of the request was written. */
    BROKEN_BEFORE_WRITTEN,
    /** The connection was lost or closed after the last byte of the request was written. */
    BROKEN_AFTER_WRITTEN,
    /** The host sent a malformed reply, or one that exceeds the size limit; the connection was closed. */
    GARBLED,
    /** The host replied to a health check with a report that cannot be parsed; the connection was closed. */
    REPORT_UNREADABLE,
    /** No reply arrived before the proxy stopped waiting. */
    TIMED_OUT,
    /** The proxy cancelled the request after it was written. */
    CALLED_OFF,
    /** The request was not sent. */
    NEVER_SENT;

    /** Returns whether the host replied with a result, which can be used as the response to the request. */
    public boolean isServed() {
        return this == SERVED || this == SERVED_AND_MORE;
    }
}
