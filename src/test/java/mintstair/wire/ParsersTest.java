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
import mintstair.backend.mongo.MongoProtocol;
import mintstair.backend.pg.PgProtocol;
import mintstair.config.Json;
import mintstair.config.ListReader;
import mintstair.request.ConnectionEnd;
import mintstair.request.HostReply;
import mintstair.request.ReplicationRole;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.bson.BsonArray;
import org.bson.BsonDocument;
import org.bson.BsonInt32;

/** Random cuts of valid messages and random garbage, from fixed seeds, against each parser. */
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

    /** All messages that come of the bytes when they are read in pieces of random length. */
    private static List<byte[]> cut(Framer framer, byte[] bytes, Random random) {
        List<byte[]> messages = new ArrayList<>();
        for (int at = 0; at < bytes.length; ) {
            int n = Math.min(bytes.length - at, 1 + random.nextInt(random.nextBoolean() ? 3 : 400));
            framer.feed(ByteBuffer.wrap(bytes, at, n));
            at += n;
            for (byte[] m = framer.next(); m != null; m = framer.next()) {
                messages.add(m);
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
    void cutsMakeNoDifference(@ForAll long seed, @ForAll @IntRange(min = 1, max = 60) int times) {
        Random random = new Random(seed);
        List<byte[]> pg = cut(new PgFramer.OfHost(), repeat(ROW, times), random);
        assertEquals(6 * times, pg.size());
        PgProtocol protocol = new PgProtocol();
        var parser = protocol.newParser();
        int replies = 0;
        for (byte[] m : pg) {
            HostReply reply = parser.take(m);
            if (reply != null) {
                replies++;
                assertEquals(ConnectionEnd.SERVED, reply.end());
                assertEquals(ReplicationRole.REPLICA, reply.report().role());
                assertEquals(1_700_000_000_123_000L, reply.report().position());
            }
        }
        assertEquals(times, replies);
        byte[] line = "telemetry\r\n".getBytes(StandardCharsets.US_ASCII);
        List<byte[]> lines = cut(new LineFramer(), repeat(line, times), random);
        assertEquals(times, lines.size());
        lines.forEach(m -> assertArrayEquals(line, m));
        List<byte[]> mongo = cut(new MongoFramer(), repeat(DOCUMENT, times), random);
        assertEquals(times, mongo.size());
        mongo.forEach(m -> assertArrayEquals(DOCUMENT, m));
    }

    /** Whatever comes, a parser gives messages or a protocol error, and never any other failure. */
    @Property(seed = "2", tries = 400)
    void garbageIsAProtocolErrorAtWorst(@ForAll @Size(max = 300) byte[] garbage, @ForAll long seed) {
        Random random = new Random(seed);
        byte[] damaged = (random.nextBoolean() ? ROW : DOCUMENT).clone();
        for (int i = 0; i < 3; i++) {
            damaged[random.nextInt(damaged.length)] = (byte) random.nextInt();
        }
        for (byte[] bytes : new byte[][] {garbage, damaged}) {
            tolerant(() -> cut(random.nextBoolean() ? new PgFramer.OfClient() : new PgFramer.OfHost(), bytes, random));
            tolerant(() -> cut(new PgFramer.OfHost(), bytes, random).forEach(new PgProtocol().newParser()::take));
            tolerant(() -> cut(new LineFramer(), bytes, random));
            tolerant(() -> cut(new MongoFramer(), bytes, random).forEach(new MongoProtocol().newParser()::take));
            if (bytes.length >= 16) {
                tolerant(() -> MongoMessage.parse(bytes));
            }
            try {
                ListReader.read(Json.read(bytes));
            } catch (IOException | IllegalArgumentException e) {
                assertTrue(e.getMessage() != null);
            }
        }
    }

    /** Guards against values that no host made: whatever length a row claims but its own, it is not served. */
    @Property(seed = "4", tries = 100)
    void rowWhoseLengthDoesNotFitIsNotServed(@ForAll @IntRange(min = -9, max = 70_000) int claimed) {
        byte[] reply = ROW.clone();
        int at = new String(ROW, StandardCharsets.ISO_8859_1).indexOf("D\0\0\0");
        ByteBuffer.wrap(reply).putInt(at + 7, claimed);
        var parser = new PgProtocol().newParser();
        if (claimed != 3) {
            assertThrows(
                    ProtocolException.class,
                    () -> cut(new PgFramer.OfHost(), reply, new Random(1)).forEach(parser::take));
        }
    }

    /** However it is cut, a long value goes on as it was, before it is whole; where it does not fit, nothing of it does. */
    @Property(seed = "5", tries = 40)
    void longValueGoesOnInPartsAsItWas(@ForAll long seed, @ForAll @IntRange(min = 65_537, max = 200_000) int length) {
        byte[] value = new byte[length];
        new Random(seed).nextBytes(value);
        byte[] row = new PgWriter()
                .message('T', '\0', '\1', "payload", 0, '\0', '\0', 17, '\0', '\4', -1, '\0', '\1')
                .message('D', '\0', '\1', length, value)
                .bytes();
        byte[] rest = new PgWriter().message('C', "SELECT 1").bytes();
        byte[] reply = new PgWriter().raw(row).raw(rest).ready().bytes();
        Framer framer = new PgFramer.OfHost();
        var parser = new PgProtocol().newParser();
        ByteArrayOutputStream went = new ByteArrayOutputStream();
        HostReply whole = null;
        for (byte[] m : cut(framer, repeat(reply, 2), new Random(seed))) {
            HostReply now = parser.take(m);
            byte[] part = parser.takePart();
            went.writeBytes(part == null ? new byte[0] : part);
            if (now != null) {
                whole = now;
                assertArrayEquals(row, went.toByteArray());
                assertArrayEquals(rest, now.body());
                went.reset();
            }
        }
        assertEquals(ConnectionEnd.SERVED, whole.end());
        byte[] spoilt = reply.clone();
        ByteBuffer.wrap(spoilt).putInt(row.length - length - 4, length - 1);
        var wary = new PgProtocol().newParser();
        assertThrows(
                ProtocolException.class,
                () -> cut(new PgFramer.OfHost(), spoilt, new Random(seed)).forEach(m -> {
                    wary.take(m);
                    assertNull(wary.takePart());
                }));
    }

    private static void tolerant(Runnable parse) {
        try {
            parse.run();
        } catch (ProtocolException e) {
            assertTrue(e.getMessage() != null);
        }
    }

    /** Guards against taking half a message: all but its last byte is nothing yet. */
    @Example
    void messageIsWholeOrNotThere() {
        Framer framer = new MongoFramer();
        framer.feed(ByteBuffer.wrap(DOCUMENT, 0, DOCUMENT.length - 1));
        assertNull(framer.next());
        framer.feed(ByteBuffer.wrap(DOCUMENT, DOCUMENT.length - 1, 1));
        assertArrayEquals(DOCUMENT, framer.next());
    }

    @Example
    void oversizedMessagesAreRefusedBeforeTheyAreHeld() {
        Framer pg = new PgFramer.OfHost();
        pg.feed(ByteBuffer.allocate(5)
                .put((byte) 'D')
                .putInt(PgFramer.LONGEST_VALUE + 1)
                .flip());
        assertThrows(ProtocolException.class, pg::next);
        Framer mongo = new MongoFramer();
        mongo.feed(ByteBuffer.allocate(16)
                .putInt(Integer.reverseBytes(MongoFramer.LONGEST + 1))
                .rewind());
        assertThrows(ProtocolException.class, mongo::next);
    }

    /** The library reads documents by calling itself: a few hundred KiB of brackets must not end the thread. */
    @Example
    void endlessNestingIsAProtocolError() {
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

    /** Guards against reading on past the row: what followed the report ran into its last number. */
    @Example
    void reportIsReadFromTheRowAlone() {
        byte[] vitals = "inflight=7,util=0.61,x0=1700000000.25,x1=1".getBytes(UTF_8);
        byte[] reply = new PgWriter()
                .message('T', '\0', '\1', "vitals", new byte[18])
                .message('D', '\0', '\1', vitals.length, vitals)
                .message('C', "SHOW")
                .bytes();
        assertEquals(ReplicationRole.PRIMARY, new PgProtocol().report(reply).role());
        assertEquals(1_700_000_000_250_000L, new PgProtocol().report(reply).position());
    }

    @Example
    void documentSequencesAreReadIntoTheBodyAndChecksumsChecked() {
        BsonDocument body = BsonDocument.parse("{insert: 'e', $db: 'd'}");
        byte[] plain = MongoMessage.opMsg(body, 0);
        byte[] one = MongoMessage.bytes(new BsonDocument("a", new BsonInt32(1)));
        ByteBuffer whole =
                ByteBuffer.allocate(plain.length + 15 + one.length + 4).order(ByteOrder.LITTLE_ENDIAN);
        whole.put(plain)
                .put((byte) 1)
                .putInt(14 + one.length)
                .put("documents\0".getBytes(UTF_8))
                .put(one);
        whole.putInt(0, whole.capacity()).putInt(16, MongoMessage.CHECKSUM_PRESENT);
        CRC32C sum = new CRC32C();
        sum.update(whole.array(), 0, whole.position());
        whole.putInt((int) sum.getValue());
        BsonDocument read = MongoMessage.parse(whole.array()).body();
        assertEquals(new BsonArray(List.of(new BsonDocument("a", new BsonInt32(1)))), read.getArray("documents"));
        whole.put(30, (byte) (whole.get(30) + 1));
        assertThrows(ProtocolException.class, () -> MongoMessage.parse(whole.array()));
    }
}
