package mintstair.request;

/** Who a request came from, as far as its answer goes. */
public interface ResponseListener {
    /** The final answer; after parts, the rest of it. */
    void answer(Response answer);

    /** A part of an answer too long to be held, in order; {@code taken} is run when it is on its way. */
    default void part(byte[] bytes, Runnable taken) {
        throw new UnsupportedOperationException("long answers");
    }

    /** Whether it has closed its connection: nothing is to begin for it from then on. On any thread. */
    default boolean isGone() {
        return false;
    }

    /** The answer of which parts went on cannot be finished, and the client must be able to tell. */
    default void cut() {}
}
