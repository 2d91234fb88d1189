package mintstair.request;

/**
 * Why the router gives up on a request and responds to it without a host's reply. The names of the constants are part
 * of metric names.
 */
public enum GiveUpReason {
    /** The client's timeout has expired, or a response sent now would arrive too late to be of use. */
    OUT_OF_TIME,
    /** An attempt may have been executed, and the request class does not permit another one at this time. */
    NOT_REPEATABLE,
    /** The maximum number of attempts in the settings has been sent. */
    ATTEMPTS_EXHAUSTED,
    /** The retry budget is empty. */
    RETRY_BUDGET,
    /** No primary is known that is listed and responsive. */
    NO_PRIMARY,
    /** The primary's concurrency limit is reached, or the primary has just rejected an attempt. */
    PRIMARY_LIMIT,
    /** The only eligible host is in slow start, and the slow-start budget is spent. */
    SLOW_START,
    /** The request is sticky, and the host that holds its cursor cannot accept it. */
    STICKY_HOST,
    /** The process is shutting down. */
    SHUTDOWN,
    /** The requests in flight take all the memory that they may take. */
    MEMORY
}
