package mintstair.traffic;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import mintstair.wire.MongoMessage;
import mintstair.wire.PgWriter;
import org.bson.BsonDocument;
import org.bson.BsonInt64;
import org.bson.BsonString;

/** A recorded request's message with a fresh id, the replay's token, and its session renamed for further copies. */
interface Rewriting {
    /** {@code afterMillis} is the token in Unix milliseconds, or negative for none; copy 0 keeps the session's name. */
    byte[] rewrite(RecordedExchange e, String id, int copy, boolean retry, long afterMillis);

    /** The name of a session in a copy: as long as ids allow, and of the same letters as keys in hexadecimal. */
    static String renamed(String session, int copy) {
        return copy == 0 ? session : session + String.format(java.util.Locale.ROOT, "c%03x", copy);
    }

    /** The values of a comment with these put in their places, or added. */
    private static String comment(String text, String id, boolean retry, long afterMillis) {
        String changed = put(text, "id", id);
        changed = afterMillis < 0 ? changed : put(changed, "after", Long.toString(afterMillis));
        return retry ? put(changed, "r", "1") : changed;
    }

    private static String put(String text, String name, String value) {
        for (int at = 0; at < text.length(); ) {
            int comma = text.indexOf(',', at);
            int end = comma < 0 ? text.length() : comma;
            int equals = text.indexOf('=', at);
            if (equals >= 0
                    && equals < end
                    && text.substring(at, equals).strip().equals(name)) {
                return text.substring(0, equals + 1) + value + text.substring(end);
            }
            at = end + 1;
        }
        return text.stripTrailing() + "," + name + "=" + value;
    }

    /** Statements of PostgreSQL: the first quoted text names the session. */
    final class Pg implements Rewriting {
        @Override
        public byte[] rewrite(RecordedExchange e, String id, int copy, boolean retry, long afterMillis) {
            byte[] m = e.message();
            String query = new String(m, 5, m.length - 6, StandardCharsets.ISO_8859_1);
            int from = query.lastIndexOf("/*") + 2;
            int to = query.indexOf("*/", from);
            String statement = query.substring(0, from);
            if (copy > 0 && e.session() != null) {
                int quote = statement.indexOf('\'') + 1;
                statement = statement.substring(0, quote)
                        + renamed(e.session(), copy)
                        + statement.substring(quote + e.session().length());
            }
            return new PgWriter()
                    .message(
                            'Q',
                            (statement + comment(query.substring(from, to), id, retry, afterMillis) + " "
                                            + query.substring(to))
                                    .getBytes(StandardCharsets.ISO_8859_1),
                            '\0')
                    .bytes();
        }
    }

    /** Commands of MongoDB: the comment names the session; each message gets a number of its own. */
    final class Mongo implements Rewriting {
        private int number;

        @Override
        public byte[] rewrite(RecordedExchange e, String id, int copy, boolean retry, long afterMillis) {
            BsonDocument c = MongoMessage.parse(e.message()).body();
            if (c.isString("comment")) {
                String text = comment(c.getString("comment").getValue(), id, retry, afterMillis);
                c.put(
                        "comment",
                        new BsonString(
                                copy == 0 || e.session() == null
                                        ? text
                                        : put(text, "session", renamed(e.session(), copy))));
            } else {
                BsonDocument values = c.getDocument("comment");
                values.put("id", new BsonString(id));
                if (afterMillis >= 0) {
                    values.put("after", new BsonInt64(afterMillis));
                }
                if (copy > 0 && e.session() != null) {
                    values.put("session", new BsonString(renamed(e.session(), copy)));
                }
                if (retry) {
                    values.put("r", new BsonString("1"));
                }
            }
            byte[] bytes = MongoMessage.opMsg(c, 0);
            ByteBuffer.wrap(bytes).order(ByteOrder.LITTLE_ENDIAN).putInt(4, ++number);
            return bytes;
        }
    }
}
