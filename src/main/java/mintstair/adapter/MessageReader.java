package mintstair.adapter;

import static mintstair.adapter.SimulatorProtocolException.require;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.io.InputStream;
import mintstair.config.InstanceSettings;
import mintstair.config.Json;

/**
 * Reads the simulator's messages, which are JSON arrays, value by value. Values may be missing at the end of an array,
 * and unknown values there are skipped, as later versions of the protocol may add some. Not thread-safe.
 */
final class MessageReader {
    private final JsonParser parser;

    MessageReader(InputStream in) throws IOException {
        parser = new JsonFactory().createParser(in);
    }

    /** Begins the next message; returns false at the end of the input. */
    boolean beginMessage() throws IOException {
        JsonToken token = parser.nextToken();
        if (token == null) {
            return false;
        }
        require(token == JsonToken.START_ARRAY, "a message must be a JSON array");
        return true;
    }

    /** Reads the next token; returns whether it begins an array. */
    boolean beginArray() throws IOException {
        return parser.nextToken() == JsonToken.START_ARRAY;
    }

    /** Skips the remaining values of the open arrays until only {@code depth} arrays are open. */
    void finishArray(int depth) throws IOException {
        while (parser.getParsingContext().getNestingDepth() > depth) {
            require(parser.nextToken() != null, "unexpected end of input inside a message");
        }
    }

    /** Reads the next token; returns null at the end of the input. */
    JsonToken nextToken() throws IOException {
        return parser.nextToken();
    }

    /** Returns the current token, which must be a number. */
    double currentNumber() throws IOException {
        return parser.getDoubleValue();
    }

    /** Reads a value of any type, in the form that {@link Json} returns. */
    Object readValue() throws IOException {
        parser.nextToken();
        return Json.readValue(parser);
    }

    /** Reads a required number of seconds; returns it in microseconds. */
    long readMicros() throws IOException {
        require(parser.nextToken().isNumeric(), "expected a time as a number of seconds");
        return InstanceSettings.toMicros(parser.getDoubleValue());
    }

    /** Reads a number of seconds; returns it in microseconds, or 0 if it is null or missing. */
    long readMicrosOrZero() throws IOException {
        return InstanceSettings.toMicros(readNumber(0));
    }

    /** Reads a required integer; returns its lowest 64 bits. */
    long readInteger() throws IOException {
        JsonToken token = parser.nextToken();
        require(token == JsonToken.VALUE_NUMBER_INT, "expected an integer");
        return parser.getNumberType() == JsonParser.NumberType.BIG_INTEGER
                ? parser.getBigIntegerValue().longValue()
                : parser.getLongValue();
    }

    /** Reads a number; returns {@code defaultValue} if it is null or missing. */
    double readNumber(double defaultValue) throws IOException {
        if (parser.currentToken() == JsonToken.END_ARRAY) {
            return defaultValue;
        }
        JsonToken token = parser.nextToken();
        if (token == JsonToken.VALUE_NULL || token == JsonToken.END_ARRAY) {
            return defaultValue;
        }
        require(token != null && token.isNumeric(), "expected a number, null or the end of the array");
        return parser.getDoubleValue();
    }

    /** Reads a string; returns null if the value is null or a number. */
    String readStringOrNull() throws IOException {
        JsonToken token = parser.nextToken();
        if (token == JsonToken.VALUE_NULL || (token != null && token.isNumeric())) {
            return null;
        }
        require(token == JsonToken.VALUE_STRING, "expected a string, a number or null");
        return parser.getText();
    }

    /** Reads a required string. */
    String readString() throws IOException {
        String text = readStringOrNull();
        require(text != null, "expected a string");
        return text;
    }

    /** Skips the next value, which must be a string, a number or null. */
    void skipStringOrNumber() throws IOException {
        readStringOrNull();
    }

    /** Skips the next value, which must be a number, null or missing. */
    void skipNumber() throws IOException {
        readNumber(0);
    }
}
