package mintstair.traffic;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import mintstair.config.Json;
import mintstair.pcap.DropCounters;
import mintstair.pcap.PcapWriter;
import mintstair.standin.Client;
import mintstair.traffic.RecordedExchange.Result;
import mintstair.traffic.Recording.Protocol;
import mintstair.wire.MongoMessage;
import mintstair.wire.PgWriter;
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

/** Exchanges of both protocols as recordings show them, whole and spoilt. */
class RecordingTest {
    private static final InetSocketAddress PG = new InetSocketAddress("127.0.0.1", 5433);
    private static final InetSocketAddress MONGO = new InetSocketAddress("127.0.0.1", 27017);
    private static final Map<Integer, Protocol> PORTS = Map.of(5433, Protocol.POSTGRESQL, 27017, Protocol.MONGODB);
    private static final long BEGUN = 1_700_000_000_000_000L;

    private long now = BEGUN;
    private final DropCounters losses = new DropCounters();

    /** What is said on one connection, a millisecond after the other. */
    private final class Said {
        final PcapWriter.Conversation to;

        Said(PcapWriter file, int port, InetSocketAddress server) throws IOException {
            to = file.begin(now, new InetSocketAddress("127.0.0.1", port), server);
        }

        Said asks(byte[] bytes) throws IOException {
            to.sent(now += 1_000, true, bytes);
            return this;
        }

        Said answers(byte[] bytes) throws IOException {
            to.sent(now += 1_000, false, bytes);
            return this;
        }
    }

    private int read(List<Path> files, Consumer<RecordedExchange> out) throws IOException {
        return Recording.read(files, false, () -> new TimeLine(Long.MAX_VALUE), PORTS, losses, out);
    }

    private interface Saying {
        void say(PcapWriter file) throws IOException;
    }

    private List<RecordedExchange> read(Saying saying) throws IOException {
        Path file = Files.createTempFile("mintstair", ".pcap");
        try {
            try (PcapWriter out = new PcapWriter(file, 1 << 24)) {
                saying.say(out);
            }
            List<RecordedExchange> found = new ArrayList<>();
            read(List.of(file), found::add);
            return found;
        } finally {
            Files.delete(file);
        }
    }

    private static byte[] row(String value) {
        byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
        return new PgWriter()
                .message('T', '\0', '\1', "payload", 0, '\0', '\0', 17, '\0', '\4', -1, '\0', '\1')
                .message('D', '\0', '\1', bytes.length, bytes)
                .message('C', "SELECT 1")
                .ready()
                .bytes();
    }

    private static byte[] query(boolean write, String comment) {
        return Client.Pg.query(Client.Pg.words(write, comment, 480));
    }

    @Example
    void eachRequestOfPostgresqlHasItsFinalAnswer() throws IOException {
        List<RecordedExchange> found = read(file -> {
            Said c = new Said(file, 40001, PG)
                    .asks(Client.Pg.startup())
                    .answers(new PgWriter().message('R', 0).ready().bytes());
            c.asks(Client.Pg.query(""))
                    .answers(new PgWriter().message('I').ready().bytes());
            c.asks(query(false, "id=a,c=basket,cluster=2,after=1767225600123,r=1"))
                    .answers(row("first"));
            c.asks(query(true, "id=b,c=order,cluster=2"))
                    .answers(new PgWriter()
                            .error("ERROR", "53300", "no room", "250")
                            .ready()
                            .bytes());
            c.asks(query(true, "id=c,c=order,cluster=2"))
                    .answers(new PgWriter()
                            .error("ERROR", "XX000", "lost", null)
                            .ready()
                            .bytes());
            c.asks(query(false, "id=d,c=any,cluster=2"))
                    .asks(query(false, "id=e,c=any,cluster=2"))
                    .answers(row("first"))
                    .answers(row("other"));
            c.asks(query(false, "id=f,c=any,cluster=2"));
            c.to.ended(now += 1_000);
        });
        assertEquals(
                "a SERVED b REFUSED c FAILED d SERVED e SERVED f NONE",
                String.join(
                        " ", found.stream().map(e -> e.id() + " " + e.result()).toList()));
        RecordedExchange a = found.get(0);
        assertEquals(
                "basket 2 7f true 480 1767225600123 false",
                a.requestClass() + " " + a.cluster() + " " + a.session() + " " + a.retry() + " " + a.deadlineMillis()
                        + " " + a.afterMillis() + " " + a.write());
        assertEquals(1_000_000, a.answered() - a.asked());
        assertEquals(250, found.get(1).retryAfterMillis());
        assertTrue(found.get(1).write());
        assertEquals(a.digest(), found.get(3).digest(), "the same value");
        assertNotEquals(a.digest(), found.get(4).digest());
        assertEquals("", losses.toString());
    }

    private static byte[] find(String id, int number) {
        byte[] m = MongoMessage.opMsg(
                new BsonDocument("find", new BsonString("e"))
                        .append("filter", new BsonDocument())
                        .append("comment", new BsonString("id=" + id + ",c=any,cluster=1,session=s7"))
                        .append("maxTimeMS", new BsonInt32(300))
                        .append("$db", new BsonString("orders")),
                0);
        java.nio.ByteBuffer.wrap(m).order(java.nio.ByteOrder.LITTLE_ENDIAN).putInt(4, number);
        return m;
    }

    private static byte[] reply(int to, BsonDocument body) {
        return MongoMessage.opMsg(body, to);
    }

    @Example
    void answersOfMongodbAreFoundByWhatTheyAnswer() throws IOException {
        BsonDocument value = new BsonDocument("cursor", new BsonDocument("firstBatch", new BsonArray()))
                .append("ok", new BsonDouble(1));
        List<RecordedExchange> found = read(file -> {
            Said c = new Said(file, 40002, MONGO);
            c.asks(find("a", 11)).asks(find("b", 12)).asks(find("c", 13)).asks(find("d", 14));
            c.answers(reply(
                    12,
                    new BsonDocument("ok", new BsonDouble(0))
                            .append("code", new BsonInt32(462))
                            .append("retryAfterMS", new BsonInt64(90))));
            c.answers(reply(11, value))
                    .answers(reply(13, new BsonDocument("ok", new BsonDouble(0)).append("code", new BsonInt32(6))));
        });
        assertEquals(
                "b REFUSED a SERVED c FAILED d NONE",
                String.join(
                        " ", found.stream().map(e -> e.id() + " " + e.result()).toList()));
        assertEquals(90, found.get(0).retryAfterMillis());
        assertEquals("s7 300", found.get(1).session() + " " + found.get(1).deadlineMillis());
    }

    @Example
    void aConnectionWithoutItsBeginningIsReadFromItsFirstQuery() throws IOException {
        Path file = Files.createTempFile("mintstair", ".pcap");
        try (PcapWriter out = new PcapWriter(file, 1 << 20)) {
            Said c = new Said(out, 40003, PG);
            c.asks(query(false, "id=a,c=any,cluster=1")).answers(row("x"));
        }
        byte[] all = Files.readAllBytes(file);
        // Without the three packets of the handshake.
        byte[] cut = new byte[all.length - 3 * 56];
        System.arraycopy(all, 0, cut, 0, 24);
        System.arraycopy(all, 24 + 3 * 56, cut, 24, cut.length - 24);
        Files.write(file, cut);
        List<RecordedExchange> found = new ArrayList<>();
        read(List.of(file), found::add);
        Files.delete(file);
        assertEquals("a SERVED", found.get(0).id() + " " + found.get(0).result());
    }

    @Example
    void whatComesBeforeASpoiltMessageStands() throws IOException {
        List<RecordedExchange> found = read(file -> {
            Said c = new Said(file, 40004, PG)
                    .asks(Client.Pg.startup())
                    .answers(new PgWriter().message('R', 0).ready().bytes());
            c.asks(query(false, "id=a,c=any,cluster=1")).answers(row("x"));
            c.asks(query(false, "id=b,c=any,cluster=1"))
                    .answers("q?%%%%%%%".getBytes())
                    .answers(row("x"));
        });
        assertEquals(
                "a SERVED b NONE",
                String.join(
                        " ", found.stream().map(e -> e.id() + " " + e.result()).toList()));
        assertEquals("no_message=1", losses.toString());
    }

    /** Of rotated files the second goes on where the first ended, in the middle of a message. */
    @Example
    void rotatedFilesAreReadAsOne() throws IOException {
        Path file = Files.createTempFile("mintstair", ".pcap");
        try (PcapWriter out = new PcapWriter(file, 1 << 20)) {
            Said c = new Said(out, 40005, PG)
                    .asks(Client.Pg.startup())
                    .answers(new PgWriter().message('R', 0).ready().bytes());
            byte[] q = query(false, "id=a,c=any,cluster=1");
            c.asks(Arrays.copyOf(q, 20))
                    .asks(Arrays.copyOfRange(q, 20, q.length))
                    .answers(row("x"));
        }
        byte[] all = Files.readAllBytes(file);
        int second = 24;
        for (int packets = 0; packets < 6; packets++) {
            second += 16 + java.nio.ByteBuffer.wrap(all).getInt(second + 8);
        }
        Path next = Files.createTempFile("mintstair", ".pcap");
        ByteArrayOutputStream rest = new ByteArrayOutputStream();
        rest.write(all, 0, 24);
        rest.write(all, second, all.length - second);
        Files.write(next, rest.toByteArray());
        Files.write(file, Arrays.copyOf(all, second));
        List<RecordedExchange> found = new ArrayList<>();
        assertEquals(1, read(List.of(file, next), found::add));
        Files.delete(file);
        Files.delete(next);
        assertEquals("a SERVED", found.get(0).id() + " " + found.get(0).result());
    }

    /** Cut anywhere or spoilt anywhere: no crash, no request twice, and of a cut file what whole requests there are. */
    @Property(seed = "6", tries = 200)
    void cutAndSpoiltRecordingsGiveWhatIsWhole(@ForAll Random dice, @ForAll @Size(max = 20) byte[] garbage)
            throws IOException {
        Path file = Files.createTempFile("mintstair", ".pcap");
        try (PcapWriter out = new PcapWriter(file, 1 << 20)) {
            Said c = new Said(out, 40006, PG)
                    .asks(Client.Pg.startup())
                    .answers(new PgWriter().message('R', 0).ready().bytes());
            Said m = new Said(out, 40007, MONGO);
            for (int i = 0; i < 10; i++) {
                c.asks(query(i % 2 == 0, "id=p" + i + ",c=any,cluster=1")).answers(row("x" + i));
                m.asks(find("m" + i, i)).answers(reply(i, new BsonDocument("ok", new BsonDouble(1))));
            }
        }
        byte[] all = Files.readAllBytes(file);
        Files.write(file, Arrays.copyOf(all, 24 + dice.nextInt(all.length - 24)));
        List<RecordedExchange> cut = new ArrayList<>();
        read(List.of(file), cut::add);
        long served = cut.stream().filter(e -> e.result() == Result.SERVED).count();
        assertTrue(cut.size() - served <= 2, "one open on each connection at most");
        assertEquals(
                cut.size(), cut.stream().map(RecordedExchange::id).distinct().count());
        for (byte b : garbage) {
            all[24 + dice.nextInt(all.length - 24)] = b;
        }
        Files.write(file, all);
        read(List.of(file), e -> {});
        Files.delete(file);
    }

    @Example
    void infoTellsWhatThereIsAndEndsWithStatusTwoOnWhatItCannotRead() throws IOException {
        Path file = Files.createTempFile("mintstair", ".pcap");
        try (PcapWriter out = new PcapWriter(file, 1 << 20)) {
            Said c = new Said(out, 40008, PG)
                    .asks(Client.Pg.startup())
                    .answers(new PgWriter().message('R', 0).ready().bytes());
            c.asks(query(false, "id=a,c=basket,cluster=1")).answers(row("x"));
        }
        StringWriter text = new StringWriter();
        assertEquals(0, TrafficCommand.run(List.of("info", file.toString()), new PrintWriter(text)));
        assertTrue(text.toString().contains("connections=1 requests=1 "), text.toString());
        assertTrue(text.toString().matches("(?s).*basket +1 +1 +0 +0 +0 +0 +1\\.0.*"), text.toString());
        assertTrue(text.toString().contains("lost: nothing"));
        StringWriter lines = new StringWriter();
        assertEquals(0, TrafficCommand.run(List.of("convert", "--to", "-", file.toString()), new PrintWriter(lines)));
        Map<?, ?> line = (Map<?, ?>) Json.read(lines.toString().getBytes(StandardCharsets.UTF_8));
        assertEquals(
                "a basket 7f served 1.0",
                line.get("id") + " " + line.get("class") + " " + line.get("session") + " " + line.get("result") + " "
                        + line.get("latency_ms"));
        assertEquals(
                2,
                TrafficCommand.run(List.of("convert", "--to", "/nowhere/x", file.toString()), new PrintWriter(lines)));
        Files.writeString(file, "no capture");
        assertEquals(2, TrafficCommand.run(List.of("info", file.toString()), new PrintWriter(text)));
        assertEquals(2, TrafficCommand.run(List.of("info"), new PrintWriter(text)));
        assertEquals(2, TrafficCommand.run(List.of("information"), new PrintWriter(text)));
        Files.delete(file);
    }
}
