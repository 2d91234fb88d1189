package mintstair.front.mongo;

import java.util.Map;
import org.bson.BsonArray;
import org.bson.BsonBinary;
import org.bson.BsonDocument;
import org.bson.BsonString;
import org.bson.BsonValue;

/**
 * Estimates the heap that decoded BSON takes, in bytes, on a virtual machine with compressed references. A document of
 * many small fields takes more than ten times the bytes that it has on the wire.
 */
final class BsonHeapSize {
    /** A document with the smallest hash table, and an array with its list. */
    private static final long CONTAINER_BYTES = 152;
    /** The entry of a hash table and its share of the table. */
    private static final long FIELD_BYTES = 48;
    /** The objects that hold the name of a field; the decoder shares those of a single character. */
    private static final long NAME_BYTES = 56;
    /** The share of an element in the table of its list. */
    private static final long ELEMENT_BYTES = 8;
    /** A number, or another value without contents. */
    private static final long VALUE_BYTES = 24;
    /** The objects that hold the contents of a value, such as an object id. */
    private static final long CONTENTS_BYTES = 48;

    private BsonHeapSize() {}

    /** Returns the estimate for the value and all values in it. */
    static long of(BsonValue value) {
        if (value instanceof BsonDocument document) {
            return ofDocument(document);
        } else if (value instanceof BsonArray array) {
            return ofArray(array);
        } else if (value instanceof BsonString string) {
            return VALUE_BYTES + CONTENTS_BYTES + 2L * string.getValue().length();
        } else if (value instanceof BsonBinary binary) {
            return VALUE_BYTES + CONTENTS_BYTES + binary.getData().length;
        }
        return isPlain(value) ? VALUE_BYTES : VALUE_BYTES + CONTENTS_BYTES;
    }

    private static boolean isPlain(BsonValue value) {
        return (value.isNumber() && !value.isDecimal128()) || value.isBoolean() || value.isNull();
    }

    private static long ofDocument(BsonDocument document) {
        long bytes = CONTAINER_BYTES;
        for (Map.Entry<String, BsonValue> field : document.entrySet()) {
            int nameLength = field.getKey().length();
            bytes += FIELD_BYTES + (nameLength > 1 ? NAME_BYTES + nameLength : 0) + of(field.getValue());
        }
        return bytes;
    }

    private static long ofArray(BsonArray array) {
        long bytes = CONTAINER_BYTES;
        for (BsonValue element : array) {
            bytes += ELEMENT_BYTES + of(element);
        }
        return bytes;
    }
}
