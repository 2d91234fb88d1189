package mintstair.backend;

import mintstair.request.HostReply;
import mintstair.request.HostReport;
import mintstair.wire.Framer;
import mintstair.wire.ProtocolException;

/** What a pool needs to know of the protocol that its hosts speak. */
public interface Protocol {
    /** What a new connection says first; its reply must come before anything else is sent. */
    byte[] greeting();

    /** The question for a host's report. */
    byte[] probe();

    /** What a host says of itself in its answer to a probe; throws {@link ProtocolException} where that is no report. */
    HostReport report(byte[] body);

    /** What one connection needs to read its replies. */
    Framer newFramer();

    Parser newParser();

    /** Reads one connection's replies; throws {@link ProtocolException} on what is none, however it came about. */
    interface Parser {
        /** These words were sent; what is taken in from here on must be the reply to them. */
        default void asked(byte[] words) {}

        /** Takes in a message; gives the reply that it completes, or null. */
        HostReply take(byte[] message);

        /** What of a long answer can go on before it is whole, since the last call; null for nothing. */
        default byte[] takePart() {
            return null;
        }

        /** The reply that stands when the connection ends here, or null where there is none. */
        HostReply atEnd();
    }
}
