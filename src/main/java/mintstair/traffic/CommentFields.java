package mintstair.traffic;

import java.util.HashMap;
import java.util.Map;
import java.util.regex.Pattern;

/** The fields that a client gives in a request's comment, as {@code id=7,c=any,cluster=1}. Immutable. */
final class CommentFields {
    static final String ID = "id";
    static final String REQUEST_CLASS = "c";
    static final String REPLICA_SET = "cluster";
    static final String RETRY = "r";
    static final String MINIMUM_POSITION = "after";
    static final String TIMEOUT = "d";
    static final String SESSION = "session";

    /** Value of {@link #RETRY} in a retry. */
    static final String TRUE = "1";

    private static final CommentFields EMPTY = new CommentFields(Map.of());
    private static final Pattern NUMBER = Pattern.compile("\\d{1,15}");

    private final Map<String, String> values;

    private CommentFields(Map<String, String> values) {
        this.values = values;
    }

    static CommentFields empty() {
        return EMPTY;
    }

    static CommentFields of(Map<String, String> values) {
        return new CommentFields(Map.copyOf(values));
    }

    /** Parses a comment; the fields of one that has another form are empty. */
    static CommentFields parse(String comment) {
        Map<String, String> values = new HashMap<>();
        for (String field : comment.strip().split(",")) {
            int equals = field.indexOf('=');
            if (equals < 1) {
                return EMPTY;
            }
            values.put(
                    field.substring(0, equals).strip(),
                    field.substring(equals + 1).strip());
        }
        return new CommentFields(values);
    }

    /** Whether the comment belongs to a request of a client, and not to another command. */
    boolean isRequest() {
        return values.containsKey(ID);
    }

    /** The value of a field, or null. */
    String get(String name) {
        return values.get(name);
    }

    String getOrEmpty(String name) {
        return values.getOrDefault(name, "");
    }

    long number(String name, long fallback) {
        return parseNumber(values.get(name), fallback);
    }

    static long parseNumber(String text, long fallback) {
        return text != null && NUMBER.matcher(text).matches() ? Long.parseLong(text) : fallback;
    }

    /** The comment with the value of a field replaced, or the field added at the end. */
    static String with(String comment, String name, String value) {
        int start = 0;
        while (start < comment.length()) {
            int comma = comment.indexOf(',', start);
            int end = comma < 0 ? comment.length() : comma;
            int equals = comment.indexOf('=', start);
            if (equals >= 0
                    && equals < end
                    && comment.substring(start, equals).strip().equals(name)) {
                return comment.substring(0, equals + 1) + value + comment.substring(end);
            }
            start = end + 1;
        }
        return comment.stripTrailing() + "," + name + "=" + value;
    }
}
