package mintstair.front.mongo;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.function.IntFunction;
import java.util.stream.IntStream;
import mintstair.wire.MongoMessage;
import org.bson.BsonArray;
import org.bson.BsonDecimal128;
import org.bson.BsonDocument;
import org.bson.BsonInt32;
import org.bson.BsonInt64;
import org.bson.BsonObjectId;
import org.bson.BsonString;
import org.bson.BsonValue;
import org.bson.types.Decimal128;
import org.junit.jupiter.api.Test;

/** Compares estimates with the heap that decoded documents were measured to take, with compressed references. */
class BsonHeapSizeTest {
    private static final int MAX_OVERESTIMATE = 4;

    private static BsonDocument array(int length, IntFunction<BsonValue> element) {
        return new BsonDocument(
                "a", new BsonArray(IntStream.range(0, length).mapToObj(element).toList()));
    }

    private static void assertEstimated(long measuredBytes, BsonDocument document) {
        MongoMessage decoded = MongoMessage.parse(MongoMessage.opMsg(document, 0));
        long estimate = BsonHeapSize.of(decoded.body());
        assertTrue(estimate >= measuredBytes, estimate + " where " + measuredBytes + " were measured");
        assertTrue(estimate <= MAX_OVERESTIMATE * measuredBytes, estimate + " is far above " + measuredBytes);
    }

    /** Guards against a budget that counts the bytes of the wire, of which such documents take a multiple. */
    @Test
    void documentsOfManySmallFields() {
        assertEstimated(
                774_800, array(4_000, i -> new BsonDocument("x", new BsonInt32(i)).append("y", new BsonInt32(i))));
        BsonDocument wide = new BsonDocument();
        IntStream.range(0, 5_000).forEach(i -> wide.append("field" + i, new BsonInt64(i)));
        assertEstimated(624_900, wide);
    }

    @Test
    void arrays() {
        assertEstimated(400_100, array(20_000, BsonInt32::new));
        assertEstimated(372_100, array(5_000, i -> new BsonString("hello" + i)));
        assertEstimated(1_040_100, array(20_000, i -> new BsonObjectId()));
        assertEstimated(1_040_100, array(20_000, i -> new BsonDecimal128(new Decimal128(i))));
        assertEstimated(1_520_100, array(20_000, i -> new BsonDocument()));
        assertEstimated(880_100, array(20_000, i -> new BsonArray()));
    }

    @Test
    void longString() {
        assertEstimated(400_100, new BsonDocument("a", new BsonString("x".repeat(400_000))));
    }
}
