package mintstair.front.pg;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import mintstair.request.Note;
import mintstair.request.ProxyRequest;
import mintstair.request.Statement;
import mintstair.wire.PgWriter;
import mintstair.wire.ProtocolException;

/** One statement and the values in its comment; it is passed on as it came but for {@code d}. */
final class PgStatement implements Statement {
    private final String before;
    private final String after;

    private PgStatement(String before, String after) {
        this.before = before;
        this.after = after;
    }

    @Override
    public byte[] encode(long waitMillis) {
        return new PgWriter().message('Q', before + waitMillis + after).bytes();
    }

    /** Reads a query as a request; throws {@link ProtocolException} where it is none that can be passed on. */
    static ProxyRequest parse(String query) {
        int open = query.lastIndexOf("/*");
        int close = query.indexOf("*/", open + 2);
        if (open < 0 || close < 0) {
            throw new ProtocolException("the statement has no comment with id, c, d and cluster");
        }
        if (!query.substring(close + 2).isBlank()) {
            throw new ProtocolException("something follows the comment");
        }
        Map<String, String> values = new HashMap<>();
        int d = -1;
        int dEnd = -1;
        for (int at = open + 2; at < close;) {
            int comma = query.indexOf(',', at);
            int stop = comma < 0 || comma > close ? close : comma;
            int equals = query.indexOf('=', at);
            if (equals < 0 || equals > stop) {
                throw new ProtocolException("the comment must hold names and values");
            }
            String name = query.substring(at, equals).strip();
            String value = query.substring(equals + 1, stop).strip();
            if (values.put(name, value) != null) {
                throw new ProtocolException(name + " is given twice");
            }
            if (name.equals("d")) {
                d = query.indexOf(value, equals + 1);
                dEnd = d + value.length();
            }
            at = stop + 1;
        }
        long patience = number(values, "d");
        String id = values.get("id");
        String requestClass = values.get("c");
        if (id == null || id.isEmpty() || requestClass == null || patience < 1 || patience > 86_400_000) {
            throw new ProtocolException("the comment needs id, c, d and cluster");
        }
        String after = values.get("after");
        return new ProxyRequest(id, requestClass, (int) number(values, "cluster"), key(query.substring(0, open)),
            "1".equals(values.get("r")), patience * 1000,
            after == null ? Note.UNKNOWN : number(values, "after") * 1000,
            new PgStatement(query.substring(0, d), query.substring(dEnd)));
    }

    private static long number(Map<String, String> values, String name) {
        String value = values.getOrDefault(name, "");
        if (!value.matches("\\d{1,15}")) {
            throw new ProtocolException("the comment needs a number for " + name);
        }
        return Long.parseLong(value);
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
        String head = statement.stripLeading();
        boolean known = head.regionMatches(true, 0, "SELECT ", 0, 7) || head.regionMatches(true, 0, "INSERT ", 0, 7);
        if (key == null || start >= 0 || !known) {
            throw new ProtocolException("only SELECT and INSERT with a quoted key are served");
        }
        return key;
    }

    static String text(byte[] message) {
        return new String(message, 5, Math.max(0, message.length - 6), StandardCharsets.UTF_8);
    }
}
