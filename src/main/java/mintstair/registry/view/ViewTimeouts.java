package mintstair.registry.view;

/**
 * The timeouts of a view, in microseconds.
 *
 * @param callMicros for the response to a call
 * @param keepaliveIntervalMicros from one confirmation that a call is alive to the request for the next
 * @param keepaliveTimeoutMicros from that request to the confirmation
 * @param initialRetryDelayMicros bounds the delay before the first retry
 * @param maxRetryDelayMicros bounds the delay before any retry
 * @param laggingServerMicros for how long a server that lags behind is avoided
 */
public record ViewTimeouts(
        long callMicros,
        long keepaliveIntervalMicros,
        long keepaliveTimeoutMicros,
        long initialRetryDelayMicros,
        long maxRetryDelayMicros,
        long laggingServerMicros) {
    /** A lost connection is noticed within 0.8 s and replaced well within 2 s where another server responds. */
    public static final ViewTimeouts DEFAULT = new ViewTimeouts(500_000, 400_000, 400_000, 150_000, 600_000, 400_000);
}
