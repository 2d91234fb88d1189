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

/**
 * Reads and writes small JSON values as maps, lists, strings, doubles, booleans and null. Maps keep the order of their
 * keys. Thread-safe.
 */
public final class Json {
    private static final JsonFactory FACTORY = new JsonFactory();

    private Json() {}

    /**
     * Parses a text that holds exactly one value.
     *
     * @throws IOException if the text is not valid JSON or holds more than one value
     */
    public static Object read(byte[] text) throws IOException {
        try (JsonParser parser = FACTORY.createParser(text)) {
            parser.nextToken();
            Object value = readValue(parser);
            if (parser.nextToken() != null) {
                throw new IOException("unexpected content after the JSON value");
            }
            return value;
        }
    }

    /** Reads the value that begins at the parser's current token and leaves the parser at the value's last token. */
    public static Object readValue(JsonParser parser) throws IOException {
        JsonToken token = parser.currentToken();
        if (token == null) {
            throw new IOException("the JSON input ended inside a value");
        }
        return switch (token) {
            case START_OBJECT -> object(parser);
            case START_ARRAY -> array(parser);
            case VALUE_STRING -> parser.getText();
            case VALUE_TRUE -> true;
            case VALUE_FALSE -> false;
            case VALUE_NULL -> null;
            default -> parser.getDoubleValue();
        };
    }

    private static Map<String, Object> object(JsonParser parser) throws IOException {
        Map<String, Object> object = new LinkedHashMap<>();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String key = parser.currentName();
            parser.nextToken();
            object.put(key, readValue(parser));
        }
        return object;
    }

    private static List<Object> array(JsonParser parser) throws IOException {
        List<Object> array = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            array.add(readValue(parser));
        }
        return array;
    }

    /** Returns the JSON text of a value of the types that {@link #read} returns; integers have no fraction. */
    public static String write(Object value) throws IOException {
        StringWriter text = new StringWriter();
        try (JsonGenerator generator = FACTORY.createGenerator(text)) {
            write(generator, value);
        }
        return text.toString();
    }

    private static void write(JsonGenerator generator, Object value) throws IOException {
        if (value instanceof Map<?, ?> object) {
            writeObject(generator, object);
        } else if (value instanceof List<?> array) {
            writeArray(generator, array);
        } else if (value instanceof Number number) {
            writeNumber(generator, number);
        } else if (value instanceof Boolean flag) {
            generator.writeBoolean(flag);
        } else if (value == null) {
            generator.writeNull();
        } else {
            generator.writeString(value.toString());
        }
    }

    private static void writeObject(JsonGenerator generator, Map<?, ?> object) throws IOException {
        generator.writeStartObject();
        for (Map.Entry<?, ?> entry : object.entrySet()) {
            generator.writeFieldName(entry.getKey().toString());
            write(generator, entry.getValue());
        }
        generator.writeEndObject();
    }

    private static void writeArray(JsonGenerator generator, List<?> array) throws IOException {
        generator.writeStartArray();
        for (Object element : array) {
            write(generator, element);
        }
        generator.writeEndArray();
    }

    private static void writeNumber(JsonGenerator generator, Number number) throws IOException {
        if (number.doubleValue() == number.longValue()) {
            generator.writeNumber(number.longValue());
        } else {
            generator.writeNumber(number.doubleValue());
        }
    }
}
