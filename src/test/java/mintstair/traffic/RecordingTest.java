package mintstair.traffic;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;
import mintstair.pcap.DropCounters;
import mintstair.pcap.PcapWriter;
import mintstair.standin.Client;
import mintstair.traffic.RecordedExchange.Result;
import mintstair.traffic.Recording.Protocol;
import mintstair.wire.MongoMessage;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.bson.BsonArray;
import org.bson.BsonDocument;
import org.bson.BsonDouble;
import org.bson.BsonInt32;
import org.bson.BsonInt64;
import org.bson.BsonString;

/** Exchanges of both protocols as recordings show them, whole and damaged. */
class RecordingTest {
    private static final Map<Integer, Protocol> PORTS = Map.of(5433, Protocol.POSTGRESQL, 27017, Protocol.MONGODB);
    private static final int FILE_HEADER_BYTES = 24;
    private static final int RECORD_HEADER_BYTES = 16;
    /** A packet record without data. */
    private static final int EMPTY_RECORD_BYTES = RECORD_HEADER_BYTES + 20 + 20;

    private static final int HANDSHAKE_PACKETS = 3;

    private final AtomicLong clockMicros = new AtomicLong(1_700_000_000_000_000L);
    private final DropCounters drops = new DropCounters();
    /** Connections of what was read last. */
    private int connections;

    /** Writes connections to a capture. */
    private interface Script {
        void run(PcapWriter file) throws IOException;
    }

    private static byte[] capture(Script script) throws IOException {
        Path file = Files.createTempFile("mintstair", ".pcap");
        try {
            try (PcapWriter writer = new PcapWriter(file, 1 << 24)) {
                script.run(writer);
            }
            return Files.readAllBytes(file);
        } finally {
            Files.delete(file);
        }
    }

    /** Reads files of these contents, which follow each other. */
    private List<RecordedExchange> read(byte[]... captures) throws IOException {
        List<Path> files = new ArrayList<>();
        try {
            for (byte[] capture : captures) {
                files.add(Files.write(Files.createTempFile("mintstair", ".pcap"), capture));
            }
            List<RecordedExchange> exchanges = new ArrayList<>();
            connections =
                    Recording.read(files, false, () -> new TimeLine(Long.MAX_VALUE), PORTS, drops, exchanges::add);
            return exchanges;
        } finally {
            for (Path file : files) {
                Files.delete(file);
            }
        }
    }

    private static String idsAndResults(List<RecordedExchange> exchanges) {
        return exchanges.stream()
                .map(exchange -> exchange.id() + " " + exchange.result())
                .collect(Collectors.joining(" "));
    }

    private static byte[] query(boolean write, String comment) {
        return Client.Pg.query(Client.Pg.words(write, comment, 480));
    }

    private static byte[] query(String id) {
        return query(false, "id=" + id + ",c=any,cluster=1");
    }

    private static byte[] error(String code, String detail) {
        return PgMessages.error(code, "text", detail);
    }

    private List<RecordedExchange> exchangesOfPostgresql() throws IOException {
        return read(capture(file -> RecordedConversation.startedPg(file, clockMicros, 40001)
                .request(Client.Pg.query(""))
                .response(PgMessages.emptyQueryResponse())
                .request(query(false, "id=a,c=basket,cluster=2,after=1767225600123,r=1"))
                .response(PgMessages.row("first"))
                .request(query(true, "id=b,c=order,cluster=2"))
                .response(error("53300", "250"))
                .request(query(true, "id=c,c=order,cluster=2"))
                .response(error("XX000", null))
                .request(query("d"))
                .request(query("e"))
                .response(PgMessages.row("first"))
                .response(PgMessages.row("other"))
                .request(query("f"))
                .end()));
    }

    @Example
    void eachRequestOfPostgresqlHasItsFinalResponse() throws IOException {
        List<RecordedExchange> exchanges = exchangesOfPostgresql();

        assertEquals("a SERVED b REFUSED c FAILED d SERVED e SERVED f NONE", idsAndResults(exchanges));
        assertEquals(1_000_000, exchanges.get(0).latencyNanos());
        assertEquals(250, exchanges.get(1).retryAfterMillis());
        assertTrue(exchanges.get(1).write());
        assertEquals(exchanges.get(0).digest(), exchanges.get(3).digest(), "the same value");
        assertNotEquals(exchanges.get(0).digest(), exchanges.get(4).digest());
        assertEquals("", drops.toString());
    }

    @Example
    void requestOfPostgresqlHasTheFieldsOfItsComment() throws IOException {
        RecordedExchange exchange = exchangesOfPostgresql().get(0);

        assertEquals("basket", exchange.requestClass());
        assertEquals(2, exchange.replicaSet());
        assertEquals("7f", exchange.session());
        assertEquals(true, exchange.retry());
        assertEquals(480, exchange.timeoutMillis());
        assertEquals(1767225600123L, exchange.minimumPositionMillis());
        assertEquals(false, exchange.write());
    }

    private static byte[] find(String id, int requestId) {
        BsonDocument command = new BsonDocument("find", new BsonString("e"))
                .append("filter", new BsonDocument())
                .append("comment", new BsonString("id=" + id + ",c=any,cluster=1,session=s7"))
                .append("maxTimeMS", new BsonInt32(300))
                .append("$db", new BsonString("orders"));
        byte[] message = MongoMessage.opMsg(command, 0);
        ByteBuffer.wrap(message).order(ByteOrder.LITTLE_ENDIAN).putInt(4, requestId);
        return message;
    }

    private static byte[] served(int requestId) {
        BsonDocument cursor = new BsonDocument("firstBatch", new BsonArray());
        BsonDocument body = new BsonDocument("cursor", cursor).append("ok", new BsonDouble(1));
        return MongoMessage.opMsg(body, requestId);
    }

    private static BsonDocument mongoError(int code) {
        return new BsonDocument("ok", new BsonDouble(0)).append("code", new BsonInt32(code));
    }

    @Example
    void responsesOfMongodbAreMatchedByRequestId() throws IOException {
        BsonDocument rejection = mongoError(462).append("retryAfterMS", new BsonInt64(90));

        List<RecordedExchange> exchanges = read(
                capture(file -> new RecordedConversation(file, clockMicros, 40002, RecordedConversation.MONGO_FRONT)
                        .request(find("a", 11))
                        .request(find("b", 12))
                        .request(find("c", 13))
                        .request(find("d", 14))
                        .response(MongoMessage.opMsg(rejection, 12))
                        .response(served(11))
                        .response(MongoMessage.opMsg(mongoError(6), 13))));

        assertEquals("b REFUSED a SERVED c FAILED d NONE", idsAndResults(exchanges));
        assertEquals(90, exchanges.get(0).retryAfterMillis());
        assertEquals("s7", exchanges.get(1).session());
        assertEquals(300, exchanges.get(1).timeoutMillis());
    }

    @Example
    void connectionWithoutItsBeginningIsReadFromItsFirstQuery() throws IOException {
        byte[] whole = capture(file -> new RecordedConversation(file, clockMicros, 40003, RecordedConversation.PG_FRONT)
                .request(query("a"))
                .response(PgMessages.row("x")));
        int firstData = FILE_HEADER_BYTES + HANDSHAKE_PACKETS * EMPTY_RECORD_BYTES;

        List<RecordedExchange> exchanges = read(withoutHead(whole, firstData));

        assertEquals("a SERVED", idsAndResults(exchanges));
    }

    /** A file with the records from this place on. */
    private static byte[] withoutHead(byte[] capture, int firstRecord) {
        ByteArrayOutputStream rest = new ByteArrayOutputStream();
        rest.write(capture, 0, FILE_HEADER_BYTES);
        rest.write(capture, firstRecord, capture.length - firstRecord);
        return rest.toByteArray();
    }

    @Example
    void exchangesBeforeADamagedMessageAreRead() throws IOException {
        List<RecordedExchange> exchanges = read(capture(file -> RecordedConversation.startedPg(file, clockMicros, 40004)
                .request(query("a"))
                .response(PgMessages.row("x"))
                .request(query("b"))
                .response("q?%%%%%%%".getBytes(StandardCharsets.US_ASCII))
                .response(PgMessages.row("x"))));

        assertEquals("a SERVED b NONE", idsAndResults(exchanges));
        assertEquals("no_message=1", drops.toString());
    }

    /** Of rotated files the second goes on where the first ended, in the middle of a message. */
    @Example
    void rotatedFilesAreReadAsOne() throws IOException {
        byte[] query = query("a");
        byte[] whole = capture(file -> RecordedConversation.startedPg(file, clockMicros, 40005)
                .request(Arrays.copyOf(query, 20))
                .request(Arrays.copyOfRange(query, 20, query.length))
                .response(PgMessages.row("x")));
        int secondFile = startOfRecord(whole, 6);

        List<RecordedExchange> exchanges = read(Arrays.copyOf(whole, secondFile), withoutHead(whole, secondFile));

        assertEquals("a SERVED", idsAndResults(exchanges));
        assertEquals(1, connections);
    }

    private static int startOfRecord(byte[] capture, int record) {
        int start = FILE_HEADER_BYTES;
        for (int i = 0; i < record; i++) {
            int capturedLength = ByteBuffer.wrap(capture).getInt(start + 8);
            start += RECORD_HEADER_BYTES + capturedLength;
        }
        return start;
    }

    /**
     * Cut anywhere or damaged anywhere: nothing fails, no request is given twice, and whole requests of a cut file
     * are.
     */
    @Property(seed = "6", tries = 200)
    void cutAndDamagedRecordingsGiveWhatIsWhole(@ForAll Random random, @ForAll @Size(max = 20) byte[] garbage)
            throws IOException {
        byte[] whole = capture(file -> {
            RecordedConversation pg = RecordedConversation.startedPg(file, clockMicros, 40006);
            RecordedConversation mongo =
                    new RecordedConversation(file, clockMicros, 40007, RecordedConversation.MONGO_FRONT);
            for (int i = 0; i < 10; i++) {
                pg.request(query(i % 2 == 0, "id=p" + i + ",c=any,cluster=1")).response(PgMessages.row("x" + i));
                mongo.request(find("m" + i, i)).response(served(i));
            }
        });

        List<RecordedExchange> exchanges = read(Arrays.copyOf(whole, randomPlace(whole, random)));

        long served = exchanges.stream()
                .filter(exchange -> exchange.result() == Result.SERVED)
                .count();
        assertTrue(exchanges.size() - served <= 2, "one pending on each connection at most");
        long ids = exchanges.stream().map(RecordedExchange::id).distinct().count();
        assertEquals(exchanges.size(), ids);

        for (byte damage : garbage) {
            whole[randomPlace(whole, random)] = damage;
        }
        read(whole);
    }

    private static int randomPlace(byte[] capture, Random random) {
        return FILE_HEADER_BYTES + random.nextInt(capture.length - FILE_HEADER_BYTES);
    }
}
