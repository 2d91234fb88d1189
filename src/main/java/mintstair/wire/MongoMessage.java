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
 * One message of MongoDB's wire protocol: an OP_MSG, or an OP_QUERY, which old drivers use for hello. A document
 * sequence is added to the body as an array under its name, as hosts do.
 */
public record MongoMessage(int requestId, int responseTo, int opCode, int flags, BsonDocument body) {
    public static final int OP_MSG = 2013;
    public static final int OP_QUERY = 2004;
    public static final int OP_REPLY = 1;
    /** The flag of a message that ends with a checksum. */
    public static final int CHECKSUM_PRESENT = 1;
    /** The flag of a message to which the sender expects no reply. */
    public static final int MORE_TO_COME = 2;

    private static final int HEADER_LENGTH = 16;
    /** The required flag bits. A message with an unknown one is invalid; other unknown bits are ignored. */
    private static final int REQUIRED_FLAGS = 0xffff;

    private static final int BODY_SECTION = 0;
    private static final int SEQUENCE_SECTION = 1;
    private static final int MIN_DOCUMENT_LENGTH = 5;
    private static final int CHECKSUM_LENGTH = 4;
    private static final int AWAIT_CAPABLE = 8;

    private static final AtomicInteger REQUEST_IDS = new AtomicInteger();
    private static final BsonDocumentCodec CODEC = new BsonDocumentCodec();

    /**
     * Parses a complete message.
     *
     * @throws ProtocolException if the message is invalid
     */
    public static MongoMessage parse(byte[] bytes) {
        ByteBuffer in = ByteBuffer.wrap(bytes).order(ByteOrder.LITTLE_ENDIAN);
        try {
            in.getInt();
            int requestId = in.getInt();
            int responseTo = in.getInt();
            int opCode = in.getInt();
            return switch (opCode) {
                case OP_MSG -> parseOpMsg(in, requestId, responseTo);
                case OP_QUERY -> parseOpQuery(in, requestId, responseTo);
                default -> throw new ProtocolException("unsupported opcode " + opCode);
            };
        } catch (StackOverflowError e) {
            // The BSON library decodes nested documents recursively.
            throw new ProtocolException("documents are nested too deep", e);
        } catch (ProtocolException e) {
            throw e;
        } catch (RuntimeException e) {
            // The exceptions that the BSON library throws for invalid input have no common type of their own.
            throw new ProtocolException("invalid BSON", e);
        }
    }

    /** Returns the message without its body, which is enough to reply to it and takes little memory. */
    public MongoMessage withoutBody() {
        return new MongoMessage(requestId, responseTo, opCode, flags, new BsonDocument());
    }

    private static MongoMessage parseOpQuery(ByteBuffer in, int requestId, int responseTo) {
        int flags = in.getInt();
        String collection = cString(in);
        // Ignore the numbers of documents to skip and to return.
        in.getInt();
        in.getInt();
        BsonDocument body = decodeDocument(in);
        body.put("$db", new BsonString(collection.split("\\.")[0]));
        return new MongoMessage(requestId, responseTo, OP_QUERY, flags, body);
    }

    private static MongoMessage parseOpMsg(ByteBuffer in, int requestId, int responseTo) {
        int flags = in.getInt();
        if ((flags & REQUIRED_FLAGS & ~(CHECKSUM_PRESENT | MORE_TO_COME)) != 0) {
            throw new ProtocolException("unknown flag bits " + flags);
        }
        if ((flags & CHECKSUM_PRESENT) != 0) {
            verifyAndRemoveChecksum(in);
        }
        BsonDocument body = parseSections(in);
        return new MongoMessage(requestId, responseTo, OP_MSG, flags, body);
    }

    private static void verifyAndRemoveChecksum(ByteBuffer in) {
        int checksumOffset = in.limit() - CHECKSUM_LENGTH;
        CRC32C checksum = new CRC32C();
        checksum.update(in.array(), 0, checksumOffset);
        if (in.getInt(checksumOffset) != (int) checksum.getValue()) {
            throw new ProtocolException("the checksum does not match");
        }
        in.limit(checksumOffset);
    }

    private static BsonDocument parseSections(ByteBuffer in) {
        BsonDocument body = null;
        BsonDocument sequences = new BsonDocument();
        while (in.hasRemaining()) {
            byte kind = in.get();
            if (kind == BODY_SECTION && body == null) {
                body = decodeDocument(in);
            } else if (kind == SEQUENCE_SECTION) {
                parseSequence(in, sequences);
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
        return body;
    }

    private static void parseSequence(ByteBuffer in, BsonDocument sequences) {
        int end = in.position() + in.getInt();
        String name = cString(in);
        BsonArray documents = new BsonArray();
        while (in.position() < end) {
            documents.add(decodeDocument(in));
        }
        if (in.position() != end || sequences.put(name, documents) != null) {
            throw new ProtocolException("invalid document sequence");
        }
    }

    private static BsonDocument decodeDocument(ByteBuffer in) {
        int length = in.getInt(in.position());
        if (length < MIN_DOCUMENT_LENGTH || length > in.remaining()) {
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
            // Advance past the terminating zero.
        }
        int length = in.position() - start - 1;
        return new String(in.array(), start, length, StandardCharsets.UTF_8);
    }

    /** Returns the request id of an encoded message, to which the reply refers. */
    public static int requestId(byte[] message) {
        return ByteBuffer.wrap(message).order(ByteOrder.LITTLE_ENDIAN).getInt(4);
    }

    /**
     * Encodes an OP_MSG with the next request id of this process.
     *
     * @param responseTo the id of the request that the message answers, or 0 if the message is a request
     */
    public static byte[] opMsg(BsonDocument body, int responseTo) {
        byte[] document = encodeDocument(body);
        return header(HEADER_LENGTH + 5 + document.length, responseTo, OP_MSG)
                .putInt(0)
                .put((byte) BODY_SECTION)
                .put(document)
                .array();
    }

    /**
     * Encodes an OP_REPLY, which answers an OP_QUERY, with the next request id of this process.
     *
     * @param responseTo the id of the request that the message answers
     */
    public static byte[] opReply(BsonDocument body, int responseTo) {
        byte[] document = encodeDocument(body);
        long cursorId = 0;
        int startingFrom = 0;
        int documents = 1;
        return header(HEADER_LENGTH + 20 + document.length, responseTo, OP_REPLY)
                .putInt(AWAIT_CAPABLE)
                .putLong(cursorId)
                .putInt(startingFrom)
                .putInt(documents)
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

    /** Encodes a document as BSON. */
    public static byte[] encodeDocument(BsonDocument document) {
        try (BasicOutputBuffer out = new BasicOutputBuffer(256);
                BsonBinaryWriter writer = new BsonBinaryWriter(out)) {
            CODEC.encode(writer, document, EncoderContext.builder().build());
            return out.toByteArray();
        }
    }

    /** Decodes a BSON document. */
    public static BsonDocument decodeDocument(byte[] bytes) {
        return decodeDocument(ByteBuffer.wrap(bytes).order(ByteOrder.LITTLE_ENDIAN));
    }
}
