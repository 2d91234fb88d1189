package mintstair.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import org.bson.BsonDocument;
import org.bson.BsonString;
import org.junit.jupiter.api.Test;

/** Tests the memory that a framer takes. */
class FramerTest {
    private static final byte[] LONG =
            MongoMessage.opMsg(new BsonDocument("a", new BsonString("x".repeat(400_000))), 0);
    private static final byte[] SHORT = MongoMessage.opMsg(new BsonDocument("a", new BsonString("x")), 0);

    /** Guards against a large buffer for each client that sends the start of a message behind a long one. */
    @Test
    void bufferOfALongMessageIsReleasedThoughTheNextOneHasBegun() {
        Framer framer = new MongoFramer();
        framer.feed(ByteBuffer.wrap(LONG));
        framer.feed(ByteBuffer.wrap(SHORT, 0, 10));
        assertTrue(framer.heldBytes() >= LONG.length, framer.heldBytes() + " bytes");

        assertEquals(LONG.length, framer.next().length);

        assertEquals(10, framer.pending());
        assertTrue(framer.heldBytes() < 1_000, framer.heldBytes() + " bytes");
        framer.feed(ByteBuffer.wrap(SHORT, 10, SHORT.length - 10));
        assertEquals(SHORT.length, framer.next().length);
        assertEquals(0, framer.heldBytes());
    }
}
