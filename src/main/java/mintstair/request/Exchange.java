package mintstair.request;

/**
 * An accepted request together with its state. It guarantees that the client receives at most one final response.
 * {@link #number}, {@link #request} and {@link #deadlineMicros} may be called on any thread, all other methods only on
 * the event loop.
 */
public final class Exchange {
    private final ProxyRequest request;
    private final ResponseListener client;
    private final long arrivedAtMicros;
    private final long number;
    private boolean over;

    /**
     * Creates the exchange of an accepted request.
     *
     * @param number the number that this proxy assigned to the request; it is never reused
     * @param arrivedAtMicros the time from which the timeout of the request counts
     * @param client receives the response
     */
    public Exchange(long number, ProxyRequest request, long arrivedAtMicros, ResponseListener client) {
        this.number = number;
        this.request = request;
        this.arrivedAtMicros = arrivedAtMicros;
        this.client = client;
    }

    /** Returns the number that this proxy assigned to the request; it is never reused. */
    public long number() {
        return number;
    }

    /** Returns the request as the front accepted it. */
    public ProxyRequest request() {
        return request;
    }

    /** Returns the time at which the client stops waiting for the response. */
    public long deadlineMicros() {
        return arrivedAtMicros + request.timeoutMicros();
    }

    /** Returns whether the final response was sent or the exchange was aborted or abandoned. */
    public boolean isOver() {
        return over;
    }

    /** Returns whether the client is still connected and waits for the response. */
    public boolean isClientWaiting() {
        return !over && !client.isDisconnected();
    }

    /** Sends the final response. Does nothing and returns false if the exchange is already over. */
    public boolean respond(Response response) {
        if (over) {
            return false;
        }
        over = true;
        client.onResponse(response);
        return true;
    }

    /**
     * Sends a part of a response that is streamed because it is too long to be buffered.
     *
     * @param onWritten is run when the part has been written to the client
     */
    public void sendPart(byte[] bytes, Runnable onWritten) {
        client.onResponsePart(bytes, onWritten);
    }

    /** Ends a streamed response that cannot be completed. */
    public void abort() {
        over = true;
        client.onResponseAborted();
    }

    /** Ends the exchange without a response because the client has disconnected. */
    public void abandon() {
        over = true;
    }
}
