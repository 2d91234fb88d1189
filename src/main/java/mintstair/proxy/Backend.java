package mintstair.proxy;

import mintstair.request.AttemptVerdict;
import mintstair.request.EndpointList;
import mintstair.request.HostReply;
import mintstair.request.Statement;

/**
 * Sends statements and health checks to the database hosts on behalf of the dispatcher. All methods, including those of
 * the nested interfaces, are called on the event loop only. Times are microseconds on its clock.
 */
public interface Backend {
    /** Receives the progress and the result of an attempt or a health check. */
    interface AttemptListener {
        /** Handles the end. Called exactly once, possibly before the method that sends the attempt returns. */
        void onEnd(HostReply reply);

        /** Returns whether the attempt may begin now. Called when it has a connection, right before it is written. */
        default AttemptVerdict mayBegin(long nowMicros) {
            return AttemptVerdict.MAY_BEGIN;
        }

        /**
         * Handles the beginning of the attempt, right before its first byte is written.
         *
         * @param timeoutMicros the execution time limit that is sent to the host
         */
        default void onBegin(long nowMicros, long timeoutMicros) {}

        /**
         * Handles a part of a reply that is streamed because it is too long to be buffered. Parts arrive in order and
         * before the end.
         *
         * @param onConsumed to be run when the part has been forwarded, so that reading from the host continues
         */
        default void onReplyPart(byte[] bytes, Runnable onConsumed) {
            onConsumed.run();
        }
    }

    /** A handle to an attempt or a health check. */
    interface Attempt {
        /**
         * Cancels the attempt: it ends as cancelled or, if it has not been written, as never sent. Does nothing if it
         * has already ended.
         */
        void cancel();
    }

    /**
     * Sends a statement to a host.
     *
     * @param writeByMicros the latest time at which the statement may be written; if it is not written by then, it is
     *     not sent
     * @param abandonAtMicros when to stop waiting for the reply
     * @param listener receives exactly one end
     */
    Attempt send(String host, Statement statement, long writeByMicros, long abandonAtMicros, AttemptListener listener);

    /** Sends a health check to a host; {@code listener} receives exactly one end. */
    void sendHealthCheck(String host, AttemptListener listener);

    /** Applies a snapshot or a delta of the endpoint list. */
    void endpointsUpdated(EndpointList list);

    /**
     * Ends, as never sent, the attempts that wait for a connection to a draining or removed host. Called after the
     * router has received the same endpoint list, so that its new decisions take the list into account.
     */
    void failQueuedForUnavailableHosts();
}
