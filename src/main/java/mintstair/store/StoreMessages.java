package mintstair.store;

import java.util.Optional;
import org.apache.ratis.protocol.Message;
import org.apache.ratis.thirdparty.com.google.protobuf.ByteString;

/**
 * Encodes and decodes the contents of Ratis messages and log entries, in UTF-8. A write consists of the key, a zero
 * character and the value; a query consists of the key. The reply to a query is a marker followed by the value, or
 * empty if there is no such key; the marker distinguishes an empty value from a missing key.
 */
final class StoreMessages {
    private static final char KEY_TERMINATOR = '\0';
    private static final String FOUND_MARKER = "=";

    /** A write of a log entry. */
    record Write(String key, String value) {}

    private StoreMessages() {}

    /** Returns whether a write can contain this key. */
    static boolean isValidKey(String key) {
        return !key.isEmpty() && key.indexOf(KEY_TERMINATOR) < 0;
    }

    static Message write(String key, String value) {
        return Message.valueOf(key + KEY_TERMINATOR + value);
    }

    /** Returns the write in a log entry; empty if the entry contains none, such as an entry of Ratis itself. */
    static Optional<Write> parseWrite(ByteString logData) {
        String text = logData.toStringUtf8();
        int keyEnd = text.indexOf(KEY_TERMINATOR);
        if (keyEnd < 0) {
            return Optional.empty();
        }
        return Optional.of(new Write(text.substring(0, keyEnd), text.substring(keyEnd + 1)));
    }

    static Message query(String key) {
        return Message.valueOf(key);
    }

    /** Returns the key in a query. */
    static String parseQuery(Message query) {
        return query.getContent().toStringUtf8();
    }

    /**
     * Returns the reply to a query.
     *
     * @param value the value; null if there is no such key
     */
    static Message queryReply(String value) {
        return value == null ? Message.EMPTY : Message.valueOf(FOUND_MARKER + value);
    }

    /** Returns the value in the reply to a query; null if there is no such key. */
    static String parseQueryReply(Message reply) {
        String text = reply.getContent().toStringUtf8();
        return text.isEmpty() ? null : text.substring(FOUND_MARKER.length());
    }
}
