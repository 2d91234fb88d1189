package mintstair.wire;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.zip.CRC32C;
import org.bson.BsonArray;
import org.bson.BsonBinaryReader;
import org.bson.BsonBinaryWriter;
import org.bson.BsonDocument;
import org.bson.BsonString;
import org.bson.codecs.BsonDocumentCodec;
import org.bson.codecs.DecoderContext;
import org.bson.codecs.EncoderContext;
import org.bson.io.BasicOutputBuffer;

/**
 * One message of MongoDB's wire protocol: OP_MSG, or the OP_QUERY that old drivers say hello with. A document
 * sequence is read into the body under its name, as hosts do.
 */
public record MongoMessage(int requestId, int responseTo, int opCode, int flags, BsonDocument body) {
    public static final int OP_MSG = 2013;
    public static final int OP_QUERY = 2004;
    public static final int OP_REPLY = 1;
    /** A checksum follows the sections. */
    public static final int CHECKSUM_PRESENT = 1;
    /** The sender expects no reply. */
    public static final int MORE_TO_COME = 2;

    private static final int MUST_KNOW = 0xffff;
    private static final AtomicInteger REQUEST_IDS = new AtomicInteger();
    private static final BsonDocumentCodec CODEC = new BsonDocumentCodec();

    /** Reads a whole message; throws {@link ProtocolException} on anything that is none. */
    public static MongoMessage parse(byte[] bytes) {
        ByteBuffer in = ByteBuffer.wrap(bytes).order(ByteOrder.LITTLE_ENDIAN);
        try {
            in.getInt();
            int id = in.getInt();
            int responseTo = in.getInt();
            int opCode = in.getInt();
            if (opCode == OP_MSG) {
                return opMsg(in, id, responseTo);
            }
            if (opCode == OP_QUERY) {
                int flags = in.getInt();
                String collection = cString(in);
                in.getInt();
                in.getInt();
                BsonDocument body = document(in);
                body.put("$db", new BsonString(collection.split("\\.")[0]));
                return new MongoMessage(id, responseTo, opCode, flags, body);
            }
            throw new ProtocolException("unsupported opcode " + opCode);
        } catch (StackOverflowError e) {
            // Documents within documents to no end: the library reads them by calling itself.
            throw new ProtocolException("documents are nested too deep");
        } catch (ProtocolException e) {
            throw e;
        } catch (RuntimeException e) {
            // Whatever the library throws on bytes that are no BSON.
            throw new ProtocolException("invalid BSON");
        }
    }

    private static MongoMessage opMsg(ByteBuffer in, int id, int responseTo) {
        int flags = in.getInt();
        if ((flags & MUST_KNOW & ~(CHECKSUM_PRESENT | MORE_TO_COME)) != 0) {
            throw new ProtocolException("unknown flag bits " + flags);
        }
        if ((flags & CHECKSUM_PRESENT) != 0) {
            CRC32C sum = new CRC32C();
            sum.update(in.array(), 0, in.limit() - 4);
            if (in.getInt(in.limit() - 4) != (int) sum.getValue()) {
                throw new ProtocolException("the checksum does not match");
            }
            in.limit(in.limit() - 4);
        }
        BsonDocument body = null;
        BsonDocument sequences = new BsonDocument();
        while (in.hasRemaining()) {
            byte kind = in.get();
            if (kind == 0 && body == null) {
                body = document(in);
            } else if (kind == 1) {
                int end = in.position() + in.getInt();
                String name = cString(in);
                BsonArray documents = new BsonArray();
                while (in.position() < end) {
                    documents.add(document(in));
                }
                if (in.position() != end || sequences.put(name, documents) != null) {
                    throw new ProtocolException("invalid document sequence");
                }
            } else {
                throw new ProtocolException("invalid section of kind " + kind);
            }
        }
        if (body == null || body.isEmpty()) {
            throw new ProtocolException("a message needs its body");
        }
        for (String name : sequences.keySet()) {
            if (body.containsKey(name)) {
                throw new ProtocolException(name + " is given twice");
            }
        }
        body.putAll(sequences);
        return new MongoMessage(id, responseTo, OP_MSG, flags, body);
    }

    private static BsonDocument document(ByteBuffer in) {
        int length = in.getInt(in.position());
        if (length < 5 || length > in.remaining()) {
            throw new ProtocolException("invalid document length " + length);
        }
        ByteBuffer part = in.slice(in.position(), length).order(ByteOrder.LITTLE_ENDIAN);
        in.position(in.position() + length);
        try (BsonBinaryReader reader = new BsonBinaryReader(part)) {
            return CODEC.decode(reader, DecoderContext.builder().build());
        }
    }

    private static String cString(ByteBuffer in) {
        int start = in.position();
        while (in.get() != 0) {
            // read on to its end
        }
        return new String(in.array(), start, in.position() - start - 1, StandardCharsets.UTF_8);
    }

    /** The id by which the reply to these words refers to them. */
    public static int requestId(byte[] words) {
        return ByteBuffer.wrap(words).order(ByteOrder.LITTLE_ENDIAN).getInt(4);
    }

    /** The words of an OP_MSG with this body, as a request or as the reply to one. */
    public static byte[] opMsg(BsonDocument body, int responseTo) {
        byte[] document = bytes(body);
        return header(21 + document.length, responseTo, OP_MSG)
                .putInt(0)
                .put((byte) 0)
                .put(document)
                .array();
    }

    /** The words of the reply that an OP_QUERY gets. */
    public static byte[] opReply(BsonDocument body, int responseTo) {
        byte[] document = bytes(body);
        return header(36 + document.length, responseTo, OP_REPLY)
                .putInt(8)
                .putLong(0)
                .putInt(0)
                .putInt(1)
                .put(document)
                .array();
    }

    private static ByteBuffer header(int length, int responseTo, int opCode) {
        return ByteBuffer.allocate(length)
                .order(ByteOrder.LITTLE_ENDIAN)
                .putInt(length)
                .putInt(REQUEST_IDS.incrementAndGet())
                .putInt(responseTo)
                .putInt(opCode);
    }

    /** The document as BSON. */
    public static byte[] bytes(BsonDocument document) {
        try (BasicOutputBuffer out = new BasicOutputBuffer(256);
                BsonBinaryWriter writer = new BsonBinaryWriter(out)) {
            CODEC.encode(writer, document, EncoderContext.builder().build());
            return out.toByteArray();
        }
    }

    /** The one document that these bytes are. */
    public static BsonDocument document(byte[] bytes) {
        return document(ByteBuffer.wrap(bytes).order(ByteOrder.LITTLE_ENDIAN));
    }
}
