package mintstair.proxy;

import mintstair.request.AttemptVerdict;
import mintstair.request.EndpointList;
import mintstair.request.HostReply;
import mintstair.request.Statement;

/** The db hosts as the dispatcher sees them; every call and every ending happens on the loop. */
public interface Backend {
    /** Takes what comes back for something that was sent. */
    interface AttemptListener {
        /** Its one ending. */
        void end(HostReply reply);

        /** Whether it may begin now; asked when a connection for it is there, right before it is written. */
        default AttemptVerdict mayBegin(long now) {
            return AttemptVerdict.MAY_BEGIN;
        }

        /** It is about to be written, and its host is told to work for so many microseconds at most. */
        default void begun(long now, long wait) {}

        /** A part of an answer too long to be held, in order, before the end; {@code taken} is run when it has gone on. */
        default void part(byte[] bytes, Runnable taken) {
            taken.run();
        }
    }

    /** Something that was sent and may be called off. */
    interface Attempt {
        /** Stops waiting; it ends as called off, or as never sent. */
        void cancel();
    }

    /**
     * Sends the statement to a host by {@code writeBy} or not at all, and stops waiting at {@code until};
     * {@code listener} gets exactly one ending.
     */
    Attempt send(String host, Statement statement, long writeBy, long until, AttemptListener listener);

    /** Asks a host for its report; {@code listener} gets exactly one ending. */
    void probe(String host, AttemptListener listener);

    /** Which hosts there are, or what changed of them. */
    void listed(EndpointList list);

    /**
     * Ends as never sent what waits for a connection to a host that is listed as leaving or gone; called once what the list tells
     * has become known to whoever decides, so that it is decided anew.
     */
    void failQueuedForUnavailable();
}
