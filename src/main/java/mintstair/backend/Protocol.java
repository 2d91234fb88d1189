package mintstair.backend;

import mintstair.request.HostReply;
import mintstair.request.HostReport;
import mintstair.wire.Framer;
import mintstair.wire.ProtocolException;

/** The wire protocol that the hosts of a pool speak. */
public interface Protocol {
    /** Returns the first message on a new connection. Nothing else is sent until it is answered. */
    byte[] greeting();

    /** Returns the request for a host's report. */
    byte[] healthCheck();

    /**
     * Decodes the report in a reply to a health check.
     *
     * @throws ProtocolException if the body is not a valid report
     */
    HostReport decodeReport(byte[] body);

    /** Creates the framer for the messages that a host sends on one connection. */
    Framer newFramer();

    /** Creates the parser for the replies on one connection. */
    Parser newParser();

    /** Assembles the replies on one connection from the messages of the host. Not thread-safe. */
    interface Parser {
        /** Records that this request is sent. The messages that follow must be the reply to it. */
        default void requestSent(byte[] request) {}

        /**
         * Parses the next message.
         *
         * @return the reply that the message completes, or null if the reply is incomplete
         * @throws ProtocolException if the message is not part of a valid reply
         */
        HostReply parse(byte[] message);

        /** Removes and returns the part of a long reply that can be forwarded now, or null if there is none. */
        default byte[] pollPart() {
            return null;
        }

        /** Returns the reply if it counts as complete when the connection is closed now, or null if it does not. */
        HostReply replyAtClose();
    }
}
