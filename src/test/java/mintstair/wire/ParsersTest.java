package mintstair.wire;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.zip.CRC32C;
import mintstair.backend.Protocol;
import mintstair.backend.mongo.MongoProtocol;
import mintstair.backend.pg.PgProtocol;
import mintstair.config.EndpointListReader;
import mintstair.config.Json;
import mintstair.request.ConnectionEnd;
import mintstair.request.HostReply;
import mintstair.request.HostReport;
import mintstair.request.ReplicationRole;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.bson.BsonArray;
import org.bson.BsonDocument;
import org.bson.BsonInt32;
import org.bson.BsonString;

/**
 * Tests each framer and parser with valid messages that arrive in pieces, and with damaged ones. The input is random,
 * from fixed seeds.
 */
class ParsersTest {
    private static final byte[] ROW = new PgWriter()
            .message('S', "rank", "copy")
            .message('S', "as_of", "1700000000123")
            .message('T', '\0', '\1', "payload", 0, '\0', '\0', 17, '\0', '\4', -1, '\0', '\1')
            .message('D', '\0', '\1', 3, new byte[] {1, 0, 2})
            .message('C', "SELECT 1")
            .ready()
            .bytes();
    private static final byte[] DOCUMENT = MongoMessage.opMsg(
            BsonDocument.parse("{find: 'e', filter: {a: [1, {b: 'x'}]}, comment: {id: '1'}, $db: 'd'}"), 4);

    private static final byte[] LINE = "telemetry\r\n".getBytes(StandardCharsets.US_ASCII);

    /** Returns the messages that a framer produces if the bytes arrive in pieces of random length. */
    private static List<byte[]> frame(Framer framer, byte[] bytes, Random random) {
        List<byte[]> messages = new ArrayList<>();
        for (int start = 0; start < bytes.length; ) {
            int length = Math.min(bytes.length - start, 1 + random.nextInt(random.nextBoolean() ? 3 : 400));
            framer.feed(ByteBuffer.wrap(bytes, start, length));
            start += length;
            for (byte[] message = framer.next(); message != null; message = framer.next()) {
                messages.add(message);
            }
        }
        return messages;
    }

    private static byte[] repeat(byte[] bytes, int times) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (int i = 0; i < times; i++) {
            out.writeBytes(bytes);
        }
        return out.toByteArray();
    }

    @Property(seed = "1", tries = 200)
    void messagesDoNotDependOnThePiecesInWhichTheyArrive(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 60) int times) {
        Random random = new Random(seed);
        List<byte[]> pg = frame(new PgFramer.HostMessageFramer(), repeat(ROW, times), random);
        assertEquals(6 * times, pg.size());
        assertServedReplies(times, pg);

        assertRepeated(times, LINE, frame(new LineFramer(), repeat(LINE, times), random));
        assertRepeated(times, DOCUMENT, frame(new MongoFramer(), repeat(DOCUMENT, times), random));
    }

    private static void assertServedReplies(int times, List<byte[]> messages) {
        Protocol.Parser parser = new PgProtocol().newParser();
        int replies = 0;
        for (byte[] message : messages) {
            HostReply reply = parser.parse(message);
            if (reply != null) {
                replies++;
                assertEquals(ConnectionEnd.SERVED, reply.end());
                assertEquals(ReplicationRole.REPLICA, reply.report().role());
                assertEquals(1_700_000_000_123_000L, reply.report().appliedPosition());
            }
        }
        assertEquals(times, replies);
    }

    private static void assertRepeated(int times, byte[] expected, List<byte[]> messages) {
        assertEquals(times, messages.size());
        messages.forEach(message -> assertArrayEquals(expected, message));
    }

    /** For any input, a parser produces messages or reports a protocol error; it fails in no other way. */
    @Property(seed = "2", tries = 400)
    void garbageCausesNoErrorsOtherThanProtocolErrors(@ForAll @Size(max = 300) byte[] garbage, @ForAll long seed) {
        Random random = new Random(seed);
        byte[] damaged = (random.nextBoolean() ? ROW : DOCUMENT).clone();
        for (int i = 0; i < 3; i++) {
            damaged[random.nextInt(damaged.length)] = (byte) random.nextInt();
        }
        for (byte[] bytes : new byte[][] {garbage, damaged}) {
            assertParsedOrRejected(() -> frame(
                    random.nextBoolean() ? new PgFramer.ClientMessageFramer() : new PgFramer.HostMessageFramer(),
                    bytes,
                    random));
            assertParsedOrRejected(() -> frame(new PgFramer.HostMessageFramer(), bytes, random)
                    .forEach(new PgProtocol().newParser()::parse));
            assertParsedOrRejected(() -> frame(new LineFramer(), bytes, random));
            assertParsedOrRejected(
                    () -> frame(new MongoFramer(), bytes, random).forEach(new MongoProtocol().newParser()::parse));
            if (bytes.length >= 16) {
                assertParsedOrRejected(() -> MongoMessage.parse(bytes));
            }
            assertEndpointListReadOrRejected(bytes);
        }
    }

    private static void assertEndpointListReadOrRejected(byte[] bytes) {
        try {
            EndpointListReader.read(Json.read(bytes));
        } catch (IOException | IllegalArgumentException e) {
            assertTrue(e.getMessage() != null);
        }
    }

    /** Guards against forwarding damaged values: a row whose column length is wrong is not served. */
    @Property(seed = "4", tries = 100)
    void rowWithAWrongColumnLengthIsNotServed(@ForAll @IntRange(min = -9, max = 70_000) int claimed) {
        byte[] reply = ROW.clone();
        int row = new String(ROW, StandardCharsets.ISO_8859_1).indexOf("D\0\0\0");
        ByteBuffer.wrap(reply).putInt(row + 7, claimed);
        Protocol.Parser parser = new PgProtocol().newParser();
        if (claimed != 3) {
            assertThrows(
                    ProtocolException.class,
                    () -> frame(new PgFramer.HostMessageFramer(), reply, new Random(1))
                            .forEach(parser::parse));
        }
    }

    /** A long value is forwarded unchanged before it is complete, whatever the pieces in which it arrives. */
    @Property(seed = "5", tries = 40)
    void longValueIsForwardedInPartsUnchanged(
            @ForAll long seed, @ForAll @IntRange(min = 65_537, max = 200_000) int length) {
        byte[] row = longRow(seed, length);
        byte[] rest = new PgWriter().message('C', "SELECT 1").bytes();
        byte[] reply = new PgWriter().raw(row).raw(rest).ready().bytes();
        Protocol.Parser parser = new PgProtocol().newParser();
        ByteArrayOutputStream forwarded = new ByteArrayOutputStream();
        HostReply last = null;
        for (byte[] message : frame(new PgFramer.HostMessageFramer(), repeat(reply, 2), new Random(seed))) {
            HostReply complete = parser.parse(message);
            byte[] part = parser.pollPart();
            forwarded.writeBytes(part == null ? new byte[0] : part);
            if (complete != null) {
                last = complete;
                assertArrayEquals(row, forwarded.toByteArray());
                assertArrayEquals(rest, complete.body());
                forwarded.reset();
            }
        }
        assertEquals(ConnectionEnd.SERVED, last.end());
    }

    /** No part of a long value is forwarded if its length does not match that of its row. */
    @Property(seed = "5", tries = 40)
    void longValueWithAWrongLengthIsNotForwarded(
            @ForAll long seed, @ForAll @IntRange(min = 65_537, max = 200_000) int length) {
        byte[] row = longRow(seed, length);
        byte[] damaged =
                new PgWriter().raw(row).message('C', "SELECT 1").ready().bytes();
        ByteBuffer.wrap(damaged).putInt(row.length - length - 4, length - 1);
        Protocol.Parser parser = new PgProtocol().newParser();

        assertThrows(
                ProtocolException.class,
                () -> frame(new PgFramer.HostMessageFramer(), damaged, new Random(seed))
                        .forEach(message -> {
                            parser.parse(message);
                            assertNull(parser.pollPart());
                        }));
    }

    private static byte[] longRow(long seed, int length) {
        byte[] value = new byte[length];
        new Random(seed).nextBytes(value);
        return new PgWriter()
                .message('T', '\0', '\1', "payload", 0, '\0', '\0', 17, '\0', '\4', -1, '\0', '\1')
                .message('D', '\0', '\1', length, value)
                .bytes();
    }

    private static void assertParsedOrRejected(Runnable parse) {
        try {
            parse.run();
        } catch (ProtocolException e) {
            assertTrue(e.getMessage() != null);
        }
    }

    /** Guards against an incomplete message that is returned as a complete one. */
    @Example
    void messageIsReturnedOnceItsLastByteArrives() {
        Framer framer = new MongoFramer();
        framer.feed(ByteBuffer.wrap(DOCUMENT, 0, DOCUMENT.length - 1));
        assertNull(framer.next());
        framer.feed(ByteBuffer.wrap(DOCUMENT, DOCUMENT.length - 1, 1));
        assertArrayEquals(DOCUMENT, framer.next());
    }

    @Example
    void oversizedMessagesAreRejectedBeforeTheyAreBuffered() {
        Framer pg = new PgFramer.HostMessageFramer();
        pg.feed(ByteBuffer.allocate(5)
                .put((byte) 'D')
                .putInt(PgFramer.MAX_ROW_LENGTH + 1)
                .flip());
        assertThrows(ProtocolException.class, pg::next);
        Framer mongo = new MongoFramer();
        mongo.feed(ByteBuffer.allocate(16)
                .putInt(Integer.reverseBytes(MongoFramer.MAX_MESSAGE_LENGTH + 1))
                .rewind());
        assertThrows(ProtocolException.class, mongo::next);
    }

    /** Guards against a thread that ends with a stack overflow, as the BSON library decodes documents recursively. */
    @Example
    void excessiveNestingIsAProtocolError() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        int depth = 40_000;
        ByteBuffer document = ByteBuffer.allocate(8 * depth + 5).order(ByteOrder.LITTLE_ENDIAN);
        for (int i = 0; i < depth; i++) {
            document.putInt(8 * (depth - i) + 5).put((byte) 3).put((byte) 'a').put((byte) 0);
        }
        document.putInt(5);
        out.writeBytes(ByteBuffer.allocate(21)
                .putInt(0)
                .putInt(0)
                .putInt(0)
                .putInt(Integer.reverseBytes(2013))
                .putInt(0)
                .put((byte) 0)
                .array());
        out.writeBytes(document.array());
        assertThrows(ProtocolException.class, () -> MongoMessage.parse(out.toByteArray()));
    }

    /** Guards against bytes after the row that are read as part of its last number. */
    @Example
    void reportIsReadFromTheRowAlone() {
        byte[] vitals = "inflight=7,util=0.61,x0=1700000000.25,x1=1".getBytes(UTF_8);
        byte[] reply = new PgWriter()
                .message('T', '\0', '\1', "vitals", new byte[18])
                .message('D', '\0', '\1', vitals.length, vitals)
                .message('C', "SHOW")
                .bytes();
        assertEquals(
                ReplicationRole.PRIMARY, new PgProtocol().decodeReport(reply).role());
        assertEquals(
                1_700_000_000_250_000L, new PgProtocol().decodeReport(reply).appliedPosition());
    }

    /** Guards against a replica that seems to have applied more than it has, or a commit that seems earlier than it was. */
    @Example
    void positionsFinerThanAMicrosecondAreRoundedDownAndCommitsUp() {
        byte[] vitals = "x0=1700000000.2500006,x1=0".getBytes(UTF_8);
        byte[] report = new PgWriter()
                .message('T', '\0', '\1', "vitals", new byte[18])
                .message('D', '\0', '\1', vitals.length, vitals)
                .message('C', "SHOW")
                .bytes();
        assertEquals(
                1_700_000_000_250_000L, new PgProtocol().decodeReport(report).appliedPosition());
        Protocol.Parser parser = new PgProtocol().newParser();
        parser.parse(new PgWriter().message('R', 0).bytes());
        parser.parse(new PgWriter().message('S', "as_of", "1700000000250.0006").bytes());
        HostReply reply = parser.parse(new PgWriter().message('Z', 'I').bytes());
        assertEquals(1_700_000_000_250_000L, reply.report().appliedPosition());
        assertEquals(1_700_000_000_250_001L, reply.report().commitPosition());
    }

    /** Guards against a primary whose last write, hours ago, is taken for the present time of its clock. */
    @Example
    void positionOfAPrimaryThatReportsNoTimeIsUnknown() {
        byte[] hello = MongoMessage.encodeDocument(
                BsonDocument.parse("{isWritablePrimary: true, lastWrite: {lastWriteDate: {$date: 1700000000250}},"
                        + " operationTime: {$timestamp: {t: 1700000000, i: 1}}, ok: 1}"));
        HostReport report = new MongoProtocol().decodeReport(hello);
        assertEquals(ReplicationRole.PRIMARY, report.role());
        assertEquals(HostReport.UNKNOWN_POSITION, report.appliedPosition());
    }

    @Example
    void documentSequencesAreAddedToTheBodyAndChecksumsAreVerified() {
        BsonDocument body = BsonDocument.parse("{insert: 'e', $db: 'd'}");
        byte[] plain = MongoMessage.opMsg(body, 0);
        byte[] element = MongoMessage.encodeDocument(new BsonDocument("a", new BsonInt32(1)));
        ByteBuffer message =
                ByteBuffer.allocate(plain.length + 15 + element.length + 4).order(ByteOrder.LITTLE_ENDIAN);
        message.put(plain)
                .put((byte) 1)
                .putInt(14 + element.length)
                .put("documents\0".getBytes(UTF_8))
                .put(element);
        message.putInt(0, message.capacity()).putInt(16, MongoMessage.CHECKSUM_PRESENT);
        CRC32C checksum = new CRC32C();
        checksum.update(message.array(), 0, message.position());
        message.putInt((int) checksum.getValue());
        BsonDocument parsed = MongoMessage.parse(message.array()).body();
        assertEquals(new BsonArray(List.of(new BsonDocument("a", new BsonInt32(1)))), parsed.getArray("documents"));
        message.put(30, (byte) (message.get(30) + 1));
        assertThrows(ProtocolException.class, () -> MongoMessage.parse(message.array()));
    }

    /** Replies of MongoDB hosts are held until they are complete, however long, so their reports come with them. */
    @Example
    void longReplyOfAMongoHostIsOneMessageWithItsReport() {
        Protocol.Parser parser = new MongoProtocol().newParser();
        byte[] request = MongoMessage.opMsg(BsonDocument.parse("{find: 'e', $db: 'd'}"), 0);
        parser.requestSent(request);
        BsonDocument body = BsonDocument.parse("{ok: 1, isWritablePrimary: false}")
                .append("value", new BsonString("x".repeat(100_000)));
        Framer framer = new MongoFramer();
        framer.feed(ByteBuffer.wrap(MongoMessage.opMsg(body, MongoMessage.requestId(request))));
        HostReply reply = parser.parse(framer.next());
        assertNull(parser.pollPart());
        assertEquals(ConnectionEnd.SERVED, reply.end());
        assertEquals(ReplicationRole.REPLICA, reply.report().role());
    }
}
