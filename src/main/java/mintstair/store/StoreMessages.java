package mintstair.store;

import java.util.Optional;
import org.apache.ratis.protocol.Message;
import org.apache.ratis.thirdparty.com.google.protobuf.ByteString;

/**
 * The contents of Ratis messages and log entries, in UTF-8. A write is the key, a zero character and the value; a query
 * is the key. The reply to a query is a mark and the value, or empty if there is no such key, so that an empty value
 * differs from none.
 */
final class StoreMessages {
    private static final char KEY_END = '\0';
    private static final String FOUND_MARK = "=";

    /** One write of the log. */
    record Write(String key, String value) {}

    private StoreMessages() {}

    /** Whether a write can hold this key. */
    static boolean isValidKey(String key) {
        return !key.isEmpty() && key.indexOf(KEY_END) < 0;
    }

    static Message write(String key, String value) {
        return Message.valueOf(key + KEY_END + value);
    }

    /** The write in a log entry; empty if the entry is none. */
    static Optional<Write> parseWrite(ByteString logData) {
        String text = logData.toStringUtf8();
        int keyEnd = text.indexOf(KEY_END);
        if (keyEnd < 0) {
            return Optional.empty();
        }
        return Optional.of(new Write(text.substring(0, keyEnd), text.substring(keyEnd + 1)));
    }

    static Message query(String key) {
        return Message.valueOf(key);
    }

    /** The key in a query. */
    static String parseQuery(Message query) {
        return query.getContent().toStringUtf8();
    }

    /**
     * The reply to a query.
     *
     * @param value the value; null if there is no such key
     */
    static Message queryReply(String value) {
        return value == null ? Message.EMPTY : Message.valueOf(FOUND_MARK + value);
    }

    /** The value in the reply to a query; null if there is no such key. */
    static String parseQueryReply(Message reply) {
        String text = reply.getContent().toStringUtf8();
        return text.isEmpty() ? null : text.substring(FOUND_MARK.length());
    }
}
