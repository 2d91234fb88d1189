package mintstair.registry.view;

/**
 * The timeouts of a view, in microseconds.
 *
 * @param callMicros the maximum time from a call to its response
 * @param keepaliveIntervalMicros the time from one confirmation that a call is alive to the request for the next one
 * @param keepaliveTimeoutMicros the maximum time from that request to the confirmation
 * @param initialRetryDelayMicros the maximum delay before the first retry
 * @param maxRetryDelayMicros the maximum delay before any retry
 * @param laggingServerMicros the time for which a server that lags is avoided
 */
public record ViewTimeouts(
        long callMicros,
        long keepaliveIntervalMicros,
        long keepaliveTimeoutMicros,
        long initialRetryDelayMicros,
        long maxRetryDelayMicros,
        long laggingServerMicros) {
    /** Detects a lost connection within 0.8 s and replaces it well within 2 s if another server responds. */
    public static final ViewTimeouts DEFAULT = new ViewTimeouts(500_000, 400_000, 400_000, 150_000, 600_000, 400_000);
}
