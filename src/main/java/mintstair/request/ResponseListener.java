package mintstair.request;

/** Takes the answer to one request, for its client. Called on the event loop unless said otherwise. */
public interface ResponseListener {
    /** Takes the final answer; after parts, the rest of it. */
    void onResponse(Response response);

    /**
     * Takes a part of an answer that is streamed; parts come in order.
     *
     * @param onWritten to be run when the part has been written to the client
     * @throws UnsupportedOperationException where this client takes whole answers only
     */
    default void onResponsePart(byte[] bytes, Runnable onWritten) {
        throw new UnsupportedOperationException("long answers");
    }

    /**
     * Whether the client has closed its connection, so that no attempt may begin for it. May be called on any thread.
     */
    default boolean isDisconnected() {
        return false;
    }

    /** The streamed answer cannot be completed; the client must be able to tell that it is not whole. */
    default void onResponseAborted() {}
}
