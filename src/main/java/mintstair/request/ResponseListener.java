package mintstair.request;

/** Receives the response to one request on behalf of its client. Called on the event loop unless stated otherwise. */
public interface ResponseListener {
    /** Receives the final response; if parts of it have been streamed, the remainder. */
    void onResponse(Response response);

    /**
     * Receives the next part of a streamed response.
     *
     * @param onWritten to be run when the part has been written to the client
     * @throws UnsupportedOperationException if this listener accepts only complete responses
     */
    default void onResponsePart(byte[] bytes, Runnable onWritten) {
        throw new UnsupportedOperationException("this listener does not accept streamed responses");
    }

    /**
     * Returns whether the client has closed its connection, so that no further attempt is sent for it. May be called on
     * any thread.
     */
    default boolean isDisconnected() {
        return false;
    }

    /** Handles a streamed response that cannot be completed. The client must be able to detect the truncation. */
    default void onResponseAborted() {}
}
