package mintstair.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.io.StringWriter;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Small JSON values as plain maps, lists, strings, numbers and truth values. */
public final class Json {
    private static final JsonFactory FACTORY = new JsonFactory();

    private Json() {}

    /** The one value that the text holds. */
    public static Object read(byte[] text) throws IOException {
        try (JsonParser in = FACTORY.createParser(text)) {
            in.nextToken();
            Object value = value(in);
            if (in.nextToken() != null) {
                throw new IOException("something follows the value");
            }
            return value;
        }
    }

    /** The value at the parser's current token; the parser stands at its last token afterwards. */
    public static Object value(JsonParser in) throws IOException {
        JsonToken t = in.currentToken();
        if (t == null) {
            throw new IOException("the input ended inside a message");
        }
        switch (t) {
            case START_OBJECT: {
                Map<String, Object> map = new LinkedHashMap<>();
                while (in.nextToken() == JsonToken.FIELD_NAME) {
                    String key = in.currentName();
                    in.nextToken();
                    map.put(key, value(in));
                }
                return map;
            }
            case START_ARRAY: {
                List<Object> list = new ArrayList<>();
                while (in.nextToken() != JsonToken.END_ARRAY) {
                    list.add(value(in));
                }
                return list;
            }
            case VALUE_STRING:
                return in.getText();
            case VALUE_TRUE:
                return true;
            case VALUE_FALSE:
                return false;
            case VALUE_NULL:
                return null;
            default:
                return in.getDoubleValue();
        }
    }

    /** The text of a value that {@link #read} gives; whole numbers are written as such. */
    public static String write(Object value) throws IOException {
        StringWriter text = new StringWriter();
        try (JsonGenerator out = FACTORY.createGenerator(text)) {
            write(out, value);
        }
        return text.toString();
    }

    private static void write(JsonGenerator out, Object value) throws IOException {
        if (value instanceof Map<?, ?> map) {
            out.writeStartObject();
            for (Map.Entry<?, ?> each : map.entrySet()) {
                out.writeFieldName(each.getKey().toString());
                write(out, each.getValue());
            }
            out.writeEndObject();
        } else if (value instanceof List<?> list) {
            out.writeStartArray();
            for (Object each : list) {
                write(out, each);
            }
            out.writeEndArray();
        } else if (value instanceof Number n) {
            if (n.doubleValue() == n.longValue()) {
                out.writeNumber(n.longValue());
            } else {
                out.writeNumber(n.doubleValue());
            }
        } else if (value instanceof Boolean b) {
            out.writeBoolean(b);
        } else if (value == null) {
            out.writeNull();
        } else {
            out.writeString(value.toString());
        }
    }
}
