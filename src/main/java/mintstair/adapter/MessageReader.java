package mintstair.adapter;

import static mintstair.adapter.WireException.require;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.io.InputStream;
import mintstair.config.InstanceSettings;
import mintstair.config.Json;

/**
 * Reads the messages of the simulator, which are JSON arrays, value by value. Values at the end of an array may be
 * absent, and later versions of the wire may add some. Not safe for use by several threads.
 */
final class MessageReader {
    private static final String UNEXPECTED_END = "the input ended inside a message";

    private final JsonParser parser;

    MessageReader(InputStream in) throws IOException {
        parser = new JsonFactory().createParser(in);
    }

    /** Begins the next message; false at the end of the input. */
    boolean beginMessage() throws IOException {
        JsonToken token = parser.nextToken();
        if (token == null) {
            return false;
        }
        require(token == JsonToken.START_ARRAY, "a message must be an array");
        return true;
    }

    /** Begins the array that is the next value; false where the next value is none. */
    boolean beginArray() throws IOException {
        return parser.nextToken() == JsonToken.START_ARRAY;
    }

    /** Skips what is left of the arrays that are open, until only {@code depth} are. */
    void finishArray(int depth) throws IOException {
        while (parser.getParsingContext().getNestingDepth() > depth) {
            require(parser.nextToken() != null, UNEXPECTED_END);
        }
    }

    /** The next token as it is. */
    JsonToken nextToken() throws IOException {
        return parser.nextToken();
    }

    /** The number that is the current token. */
    double currentNumber() throws IOException {
        return parser.getDoubleValue();
    }

    /** The next value of any kind, as {@link Json} reads it. */
    Object value() throws IOException {
        parser.nextToken();
        return Json.value(parser);
    }

    /** The next value, a number of seconds that must be there, in microseconds. */
    long micros() throws IOException {
        require(parser.nextToken().isNumeric(), "a time must be a number");
        return InstanceSettings.toMicros(parser.getDoubleValue());
    }

    /** The next value, a number of seconds, in microseconds; 0 where it is null or absent. */
    long microsOrZero() throws IOException {
        return InstanceSettings.toMicros(number(0));
    }

    /** The next value, a whole number that must be there; the lowest 64 bits of a larger one. */
    long whole() throws IOException {
        JsonToken token = parser.nextToken();
        require(token == JsonToken.VALUE_NUMBER_INT, "expected a whole number");
        return parser.getNumberType() == JsonParser.NumberType.BIG_INTEGER
                ? parser.getBigIntegerValue().longValue()
                : parser.getLongValue();
    }

    /** The next value, a number; the default where it is null or absent. */
    double number(double defaultValue) throws IOException {
        if (parser.currentToken() == JsonToken.END_ARRAY) {
            return defaultValue;
        }
        JsonToken token = parser.nextToken();
        if (token == JsonToken.VALUE_NULL || token == JsonToken.END_ARRAY) {
            return defaultValue;
        }
        require(token != null && token.isNumeric(), "expected a number");
        return parser.getDoubleValue();
    }

    /** The next value, a text; null where it is null or a number. */
    String textOrNull() throws IOException {
        JsonToken token = parser.nextToken();
        if (token == JsonToken.VALUE_NULL || (token != null && token.isNumeric())) {
            return null;
        }
        require(token == JsonToken.VALUE_STRING, "expected a text");
        return parser.getText();
    }

    /** The next value, a text that must be there. */
    String text() throws IOException {
        String text = textOrNull();
        require(text != null, "expected a text");
        return text;
    }

    /** Skips the next value, which is a text, a number or null. */
    void skipTextOrNumber() throws IOException {
        textOrNull();
    }

    /** Skips the next value, which is a number, null or absent. */
    void skipNumber() throws IOException {
        number(0);
    }
}
