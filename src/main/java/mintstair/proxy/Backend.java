package mintstair.proxy;

import mintstair.request.AttemptVerdict;
import mintstair.request.EndpointList;
import mintstair.request.HostReply;
import mintstair.request.Statement;

/**
 * The database hosts as the dispatcher sees them. All calls, in both directions, are made on the event loop. Times are
 * microseconds on its clock.
 */
public interface Backend {
    /** Takes what comes back for something that was sent. */
    interface AttemptListener {
        /** It ended. Called exactly once, possibly before the call that sent it returns. */
        void onEnd(HostReply reply);

        /** Whether it may begin now; asked when it has a connection, right before it is written. */
        default AttemptVerdict mayBegin(long nowMicros) {
            return AttemptVerdict.MAY_BEGIN;
        }

        /** It is about to be written, with {@code timeoutMicros} as the time that its host may take. */
        default void onBegin(long nowMicros, long timeoutMicros) {}

        /**
         * A part of a reply that is streamed as it is too long to be buffered; parts come in order, before the end.
         *
         * @param onConsumed to be run when the part has been passed on, so that more is read
         */
        default void onReplyPart(byte[] bytes, Runnable onConsumed) {
            onConsumed.run();
        }
    }

    /** Something that was sent. */
    interface Attempt {
        /** Stops waiting for it: it ends as cancelled, or as never sent. Does nothing where it has ended. */
        void cancel();
    }

    /**
     * Sends a statement to a host.
     *
     * @param writeByMicros when it must be written at the latest; else it is not sent
     * @param abandonAtMicros when to stop waiting for the reply
     * @param listener gets exactly one end
     */
    Attempt send(String host, Statement statement, long writeByMicros, long abandonAtMicros, AttemptListener listener);

    /** Sends a health check to a host; {@code listener} gets exactly one end. */
    void sendHealthCheck(String host, AttemptListener listener);

    /** The endpoint list, or changes to it. */
    void endpointsUpdated(EndpointList list);

    /**
     * Ends as never sent what waits for a connection to a host that is draining or removed. Called after the router has
     * been given the same list, so that it decides anew on what ends here.
     */
    void failQueuedForUnavailableHosts();
}
