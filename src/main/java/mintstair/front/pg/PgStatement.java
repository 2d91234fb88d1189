package mintstair.front.pg;

import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import mintstair.front.RequestRules;
import mintstair.request.ProxyRequest;
import mintstair.request.Statement;
import mintstair.wire.PgWriter;
import mintstair.wire.ProtocolException;

/**
 * One SQL statement. It is forwarded byte for byte, except for the value of {@code d} in its comment, which is replaced
 * by the timeout of the proxy in milliseconds.
 */
public final class PgStatement implements Statement {
    private static final Pattern DEADLINE = Pattern.compile("(?:^|,)\\s*d\\s*=\\s*(\\d{1,15})\\s*(?=,|$)");
    private static final String COMMENT_START = "/*";
    private static final String COMMENT_END = "*/";
    /** Bytes of the type and the length of a query message. */
    private static final int HEADER_LENGTH = 5;

    private final byte[] beforeDeadline;
    private final byte[] afterDeadline;

    private PgStatement(String beforeDeadline, String afterDeadline) {
        this.beforeDeadline = beforeDeadline.getBytes(StandardCharsets.ISO_8859_1);
        this.afterDeadline = afterDeadline.getBytes(StandardCharsets.ISO_8859_1);
    }

    @Override
    public byte[] encode(long timeoutMillis) {
        byte[] deadline = Long.toString(timeoutMillis).getBytes(StandardCharsets.ISO_8859_1);
        return new PgWriter()
                .message('Q', beforeDeadline, deadline, afterDeadline, '\0')
                .bytes();
    }

    /**
     * Parses a query into a request.
     *
     * @throws ProtocolException if the query cannot be forwarded
     */
    public static ProxyRequest parse(String query, RequestRules rules) {
        checkCharacters(query);
        int commentStart = query.lastIndexOf(COMMENT_START);
        int valuesStart = commentStart + COMMENT_START.length();
        int valuesEnd = query.indexOf(COMMENT_END, valuesStart);
        if (commentStart < 0 || valuesEnd < 0) {
            throw new ProtocolException("the statement has no comment with id, c, d and cluster");
        }
        if (!query.substring(valuesEnd + COMMENT_END.length()).isBlank()) {
            throw new ProtocolException("something follows the comment");
        }
        String comment = query.substring(valuesStart, valuesEnd);
        Matcher deadline = DEADLINE.matcher(comment);
        if (!deadline.find()) {
            throw new ProtocolException("the comment needs a number for d");
        }
        String sql = query.substring(0, commentStart);
        boolean writes = startsWith(sql, "INSERT ");
        if (!writes && !startsWith(sql, "SELECT ")) {
            throw new ProtocolException("only SELECT and INSERT are served");
        }
        PgStatement statement = new PgStatement(
                query.substring(0, valuesStart + deadline.start(1)), query.substring(valuesStart + deadline.end(1)));
        return rules.createRequest(
                RequestRules.parseComment(comment), deadline.group(1), writes, sessionKey(sql), statement);
    }

    /**
     * Rejects control and non-ASCII characters. A host closes the connection on a statement that it cannot parse, which
     * would also fail the requests of other clients.
     */
    private static void checkCharacters(String query) {
        for (int i = 0; i < query.length(); i++) {
            char character = query.charAt(i);
            if ((character < ' ' && character != '\n' && character != '\r' && character != '\t') || character >= 127) {
                throw new ProtocolException("a statement is plain text, with values in hexadecimal");
            }
        }
    }

    private static boolean startsWith(String sql, String keyword) {
        return sql.stripLeading().regionMatches(true, 0, keyword, 0, keyword.length());
    }

    /** Returns the first quoted text of the statement; rejects a semicolon outside quotes. */
    private static String sessionKey(String sql) {
        String key = null;
        int quoteStart = -1;
        for (int i = 0; i < sql.length(); i++) {
            char character = sql.charAt(i);
            boolean quoted = quoteStart >= 0;
            if (character == '\'') {
                if (quoted && key == null) {
                    key = sql.substring(quoteStart + 1, i);
                }
                quoteStart = quoted ? -1 : i;
            } else if (!quoted && character == ';') {
                throw new ProtocolException("one statement a query");
            }
        }
        if (key == null || quoteStart >= 0) {
            throw new ProtocolException("the statement needs a quoted key");
        }
        return key;
    }

    /** Returns the text of a query message, decoded as one character per byte so that the bytes can be restored. */
    static String queryText(byte[] message) {
        int length = Math.max(0, message.length - HEADER_LENGTH - 1);
        return new String(message, HEADER_LENGTH, length, StandardCharsets.ISO_8859_1);
    }
}
