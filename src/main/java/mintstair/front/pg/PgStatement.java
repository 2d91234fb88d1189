package mintstair.front.pg;

import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import mintstair.front.RequestRules;
import mintstair.request.ProxyRequest;
import mintstair.request.Statement;
import mintstair.wire.PgWriter;
import mintstair.wire.ProtocolException;

/** One statement and the values in its comment; it is passed on as it came but for {@code d}. */
public final class PgStatement implements Statement {
    private static final Pattern DEADLINE = Pattern.compile("(?:^|,)\\s*d\\s*=\\s*(\\d{1,15})\\s*(?=,|$)");

    private final byte[] before;
    private final byte[] after;

    private PgStatement(String before, String after) {
        this.before = before.getBytes(StandardCharsets.ISO_8859_1);
        this.after = after.getBytes(StandardCharsets.ISO_8859_1);
    }

    @Override
    public byte[] encode(long waitMillis) {
        return new PgWriter()
                .message('Q', before, Long.toString(waitMillis).getBytes(StandardCharsets.ISO_8859_1), after, '\0')
                .bytes();
    }

    /** Reads a query as a request; throws {@link ProtocolException} where it is none that can be passed on. */
    public static ProxyRequest parse(String query, RequestRules rules) {
        for (int i = 0; i < query.length(); i++) {
            char c = query.charAt(i);
            // A host ends its connection on what it cannot read, whoever else's requests are on it.
            if ((c < ' ' && c != '\n' && c != '\r' && c != '\t') || c >= 127) {
                throw new ProtocolException("a statement is plain text, with values in hexadecimal");
            }
        }
        int open = query.lastIndexOf("/*");
        int close = query.indexOf("*/", open + 2);
        if (open < 0 || close < 0) {
            throw new ProtocolException("the statement has no comment with id, c, d and cluster");
        }
        if (!query.substring(close + 2).isBlank()) {
            throw new ProtocolException("something follows the comment");
        }
        String comment = query.substring(open + 2, close);
        Matcher d = DEADLINE.matcher(comment);
        if (!d.find()) {
            throw new ProtocolException("the comment needs a number for d");
        }
        String head = query.substring(0, open);
        boolean writes = head.stripLeading().regionMatches(true, 0, "INSERT ", 0, 7);
        if (!writes && !head.stripLeading().regionMatches(true, 0, "SELECT ", 0, 7)) {
            throw new ProtocolException("only SELECT and INSERT are served");
        }
        int at = open + 2;
        return rules.request(
                RequestRules.comment(comment),
                d.group(1),
                writes,
                key(head),
                new PgStatement(query.substring(0, at + d.start(1)), query.substring(at + d.end(1))));
    }

    /** The first quoted text names the session; one statement a query, so no semicolon outside quotes. */
    private static String key(String statement) {
        String key = null;
        int start = -1;
        for (int i = 0; i < statement.length(); i++) {
            char c = statement.charAt(i);
            if (c == '\'') {
                key = start >= 0 && key == null ? statement.substring(start + 1, i) : key;
                start = start >= 0 ? -1 : i;
            } else if (start < 0 && c == ';') {
                throw new ProtocolException("one statement a query");
            }
        }
        if (key == null || start >= 0) {
            throw new ProtocolException("the statement needs a quoted key");
        }
        return key;
    }

    /** The text of a query message, a character a byte, so that what is passed on is the same to the byte. */
    static String text(byte[] message) {
        return new String(message, 5, Math.max(0, message.length - 6), StandardCharsets.ISO_8859_1);
    }
}
