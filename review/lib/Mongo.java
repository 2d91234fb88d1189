import java.io.DataInputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.concurrent.atomic.AtomicInteger;
import org.bson.BsonBinaryReader;
import org.bson.BsonBinaryWriter;
import org.bson.BsonDocument;
import org.bson.codecs.BsonDocumentCodec;
import org.bson.codecs.DecoderContext;
import org.bson.codecs.EncoderContext;
import org.bson.io.BasicOutputBuffer;

/** OP_MSG messages with one body section. */
public final class Mongo {
    private static final BsonDocumentCodec CODEC = new BsonDocumentCodec();
    private static final AtomicInteger IDS = new AtomicInteger();

    /** One message. */
    public record Message(int id, int responseTo, BsonDocument body) {}

    private Mongo() {}

    public static byte[] message(BsonDocument body, int responseTo) {
        BasicOutputBuffer out = new BasicOutputBuffer();
        CODEC.encode(new BsonBinaryWriter(out), body, EncoderContext.builder().build());
        byte[] document = out.toByteArray();
        return ByteBuffer.allocate(21 + document.length)
                .order(ByteOrder.LITTLE_ENDIAN)
                .putInt(21 + document.length)
                .putInt(IDS.incrementAndGet())
                .putInt(responseTo)
                .putInt(2013)
                .putInt(0)
                .put((byte) 0)
                .put(document)
                .array();
    }

    /** Reads one message; null at the end of the stream. */
    public static Message read(DataInputStream in) throws IOException {
        byte[] head = in.readNBytes(21);
        if (head.length < 21) {
            return null;
        }
        ByteBuffer fields = ByteBuffer.wrap(head).order(ByteOrder.LITTLE_ENDIAN);
        byte[] document = in.readNBytes(fields.getInt(0) - 21);
        BsonDocument body = CODEC.decode(
                new BsonBinaryReader(ByteBuffer.wrap(document)), DecoderContext.builder().build());
        return new Message(fields.getInt(4), fields.getInt(8), body);
    }
}
