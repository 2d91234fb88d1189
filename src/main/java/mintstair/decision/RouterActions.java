package mintstair.decision;

import mintstair.request.GiveUpReason;

/** Carries out the actions of a router. Times are in microseconds. */
public interface RouterActions {
    /**
     * Sends an attempt of a request to a host.
     *
     * @param abandonAt when the attempt is given up; 0 for the deadline of the client
     * @param beginBy the latest time at which the attempt may start, because the decision is valid only until then;
     *     {@link Long#MAX_VALUE} for no bound
     */
    void send(long id, String host, long abandonAt, long beginBy);

    /** Cancels one attempt. */
    void cancel(long id, int attempt);

    /**
     * Sends the final response that the request is rejected and may safely be retried.
     *
     * @param retryAfterMicros the advised wait before the retry; 0 for no advice
     */
    void reject(long id, long retryAfterMicros);

    /** Sends the final response that the request has failed, and may or may not have been executed. */
    void fail(long id);

    /**
     * Reports why a request is given up. Called right before its {@link #reject} or {@link #fail}, for observability
     * only.
     */
    default void gaveUp(long id, GiveUpReason reason) {}

    /** Sends a health check to a host. */
    void checkHealth(String host);

    /** Starts a timer, which calls {@link Router#onTimer} after this delay. */
    void startTimer(String name, long delayMicros);

    /** Subscribes to the endpoint list. */
    void subscribe();

    /** Sends a short message to every other router. */
    void broadcast(String text);

    /** Logs a line for operators. */
    void log(String text);
}
