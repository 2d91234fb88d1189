package mintstair.backend;

import mintstair.request.HostReply;
import mintstair.request.HostReport;
import mintstair.wire.Framer;
import mintstair.wire.ProtocolException;

/** What a pool needs to know of the protocol that its hosts speak. */
public interface Protocol {
    /** The first message on a new connection; nothing else is sent before its reply. */
    byte[] greeting();

    /** The request for a host's report. */
    byte[] healthCheck();

    /**
     * Decodes the report in a reply to a health check.
     *
     * @throws ProtocolException where it is none
     */
    HostReport report(byte[] body);

    /** Makes the framer of one connection's replies. */
    Framer newFramer();

    /** Makes the parser of one connection's replies. */
    Parser newParser();

    /** Assembles the replies on one connection from messages. Not thread-safe. */
    interface Parser {
        /** Notes that this request is sent; the messages from here on must be the reply to it. */
        default void requestSent(byte[] request) {}

        /**
         * Takes one message in.
         *
         * @return the reply that it completes, or null where more is to come
         * @throws ProtocolException where it is not part of a valid reply
         */
        HostReply parse(byte[] message);

        /** Removes and returns what of a long reply may be forwarded before its end; null for nothing. */
        default byte[] pollPart() {
            return null;
        }

        /** The reply that is complete if the connection ends here; null where there is none. */
        HostReply replyAtClose();
    }
}
