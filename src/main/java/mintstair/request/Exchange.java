package mintstair.request;

/**
 * A request that was accepted, and the guarantee that its client gets at most one final answer. All methods but the
 * getters of final values are to be called on the event loop.
 */
public final class Exchange {
    private final ProxyRequest request;
    private final ResponseListener client;
    private final long arrivedAtMicros;
    private final long number;
    private boolean over;

    /**
     * @param number this proxy's own number for it, never reused
     * @param arrivedAtMicros when its timeout began
     * @param client gets the answer
     */
    public Exchange(long number, ProxyRequest request, long arrivedAtMicros, ResponseListener client) {
        this.number = number;
        this.request = request;
        this.arrivedAtMicros = arrivedAtMicros;
        this.client = client;
    }

    /** This proxy's own number for it, never reused. */
    public long number() {
        return number;
    }

    /** The request as the front accepted it. */
    public ProxyRequest request() {
        return request;
    }

    /** When the client stops waiting. */
    public long deadlineMicros() {
        return arrivedAtMicros + request.timeoutMicros();
    }

    /** Whether it has had its final answer, or was abandoned. */
    public boolean isOver() {
        return over;
    }

    /** Whether its client still waits for the answer; false as soon as the client's connection is closed. */
    public boolean isClientWaiting() {
        return !over && !client.isDisconnected();
    }

    /** Gives the final answer. Returns false, and does nothing, where the exchange is over. */
    public boolean respond(Response response) {
        if (over) {
            return false;
        }
        over = true;
        client.onResponse(response);
        return true;
    }

    /**
     * Passes on a part of an answer that is streamed as it is too long to be buffered.
     *
     * @param onWritten is run when the part has been written to the client
     */
    public void sendPart(byte[] bytes, Runnable onWritten) {
        client.onResponsePart(bytes, onWritten);
    }

    /** Ends a streamed answer that cannot be completed. */
    public void abort() {
        over = true;
        client.onResponseAborted();
    }

    /** Ends the exchange without an answer, as the client has left. */
    public void abandon() {
        over = true;
    }
}
