package mintstair.pins;

import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;
import mintstair.pcap.PcapWriter;
import mintstair.pcap.Rotation;
import mintstair.pcap.TrafficLog;
import mintstair.registry.SnapshotFile;
import mintstair.standin.Client;
import mintstair.store.Store;
import mintstair.traffic.Redactor;
import mintstair.traffic.TrafficCommand;
import mintstair.wire.MongoMessage;
import mintstair.wire.PgWriter;
import org.bson.BsonArray;
import org.bson.BsonDocument;
import org.bson.BsonDouble;
import org.bson.BsonInt32;
import org.bson.BsonInt64;
import org.bson.BsonString;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;

/**
 * Wrote the files under {@code src/test/resources/stored}. They are from the version before the great renaming and
 * must not be renewed: that the program reads them is how it is known that it still reads what older versions have
 * left behind. A new format gets new files beside them. It is no part of the usual tests, and writes only where it is
 * told to, by {@code mvn test -Dtest=StoredDataWriter -Dstored.folder=FOLDER}.
 */
@EnabledIfSystemProperty(named = "stored.folder", matches = ".+")
class StoredDataWriter {
    private static final InetSocketAddress POSTGRESQL = new InetSocketAddress("127.0.0.1", StoredData.POSTGRESQL_PORT);
    private static final InetSocketAddress MONGODB = new InetSocketAddress("127.0.0.1", StoredData.MONGODB_PORT);
    private static final int QUEUE = 1 << 20;
    private final Path folder = Path.of(System.getProperty("stored.folder"));
    private final AtomicLong now = new AtomicLong(1_700_000_000_000_000L);

    /** One recorded connection, whatever writes it. */
    private interface Said {
        void said(boolean byClient, byte[] bytes) throws IOException;

        default Said asks(byte[] bytes) throws IOException {
            said(true, bytes);
            return this;
        }

        default Said answers(byte[] bytes) throws IOException {
            said(false, bytes);
            return this;
        }
    }

    /** Copied while the member runs, as a kill leaves it: an orderly end would put the whole log into a snapshot. */
    @Test
    void stores() throws IOException {
        Path kept = Files.createTempDirectory("mintstair").resolve(StoredData.STORE);
        Map<String, InetSocketAddress> members = StoredData.freeMember();
        try (Store store = Store.startMember(StoredData.MEMBER, members, kept)) {
            for (int round = 1; round < StoredData.ROUNDS; round++) {
                put(store, StoredData.round(round));
            }
        }
        try (Store store = Store.startMember(StoredData.MEMBER, members, kept)) {
            put(store, StoredData.entries());
            copy(kept, folder.resolve(StoredData.STORE));
        }
        Path young = Files.createTempDirectory("mintstair").resolve(StoredData.YOUNG_STORE);
        try (Store store = Store.startMember(StoredData.MEMBER, members, young)) {
            put(store, StoredData.entries());
            copy(young, folder.resolve(StoredData.YOUNG_STORE));
        }
    }

    private static void copy(Path from, Path to) throws IOException {
        for (Path each : StoredData.tree(from)) {
            Path target = to.resolve(from.relativize(each).toString());
            if (Files.isDirectory(each)) {
                Files.createDirectories(target);
            } else if (!each.endsWith("in_use.lock")) {
                Files.copy(each, target);
            }
        }
    }

    private static void put(Store store, Map<String, String> entries) throws IOException {
        for (Map.Entry<String, String> each : entries.entrySet()) {
            store.put(each.getKey(), each.getValue());
        }
    }

    @Test
    void registry() throws IOException {
        new SnapshotFile(folder.resolve(StoredData.REGISTRY)).write(StoredData.registry());
    }

    @Test
    void recordings() throws IOException {
        rotated(StoredData.ROTATED, false);
        rotated(StoredData.DIGESTED, true);
        try (PcapWriter out = new PcapWriter(folder.resolve(StoredData.SINGLE), 1 << 16)) {
            PcapWriter.Conversation to = out.begin(now.get(), client(40_010), POSTGRESQL);
            speakPostgresql((byClient, bytes) -> to.sent(now.addAndGet(1_000), byClient, bytes));
            to.ended(now.addAndGet(1_000));
        }
        exchanges();
    }

    private static InetSocketAddress client(int port) {
        return new InetSocketAddress("127.0.0.1", port);
    }

    private void rotated(String name, boolean digests) throws IOException {
        byte[] key = new byte[32];
        Supplier<UnaryOperator<byte[]>> ofClient = digests ? () -> Redactor.ofClient(key) : UnaryOperator::identity;
        Supplier<UnaryOperator<byte[]>> ofServer = digests ? () -> Redactor.ofServer(key) : UnaryOperator::identity;
        try (TrafficLog log =
                new TrafficLog(folder.resolve(name), new Rotation(1_500, 1L << 40, 1 << 20), QUEUE, now::get)) {
            TrafficLog.Conversation postgresql = log.begin(client(40_001), POSTGRESQL, ofClient, ofServer, digests);
            speakPostgresql((byClient, bytes) -> {
                now.addAndGet(1_000);
                postgresql.sent(byClient, bytes);
            });
            postgresql.ended();
            if (!digests) {
                TrafficLog.Conversation mongodb = log.begin(client(40_002), MONGODB, ofClient, ofServer, false);
                speakMongodb((byClient, bytes) -> {
                    now.addAndGet(1_000);
                    mongodb.sent(byClient, bytes);
                });
                mongodb.ended();
            }
        }
    }

    private static void speakPostgresql(Said said) throws IOException {
        said.asks(Client.Pg.startup())
                .answers(new PgWriter().message('R', 0).ready().bytes());
        said.asks(query(false, "id=a,c=basket,cluster=2,after=1767225600123,r=1"))
                .answers(row("first"));
        said.asks(query(true, "id=b,c=order,cluster=2"))
                .answers(new PgWriter()
                        .error("ERROR", "53300", "no room", "250")
                        .ready()
                        .bytes());
        said.asks(query(true, "id=c,c=order,cluster=2"))
                .answers(new PgWriter()
                        .error("ERROR", "XX000", "lost", null)
                        .ready()
                        .bytes());
        for (int request = 0; request < 8; request++) {
            said.asks(query(request % 2 == 0, "id=d" + request + ",c=any,cluster=1"))
                    .answers(row("value " + request % 3));
        }
        said.asks(query(false, "id=open,c=any,cluster=1"));
    }

    private static void speakMongodb(Said said) throws IOException {
        BsonDocument value = new BsonDocument("cursor", new BsonDocument("firstBatch", new BsonArray()))
                .append("ok", new BsonDouble(1));
        said.asks(find("ma", 11)).asks(find("mb", 12)).asks(find("mc", 13));
        said.answers(MongoMessage.opMsg(
                new BsonDocument("ok", new BsonDouble(0))
                        .append("code", new BsonInt32(462))
                        .append("retryAfterMS", new BsonInt64(90)),
                12));
        said.answers(MongoMessage.opMsg(value, 11));
        said.answers(
                MongoMessage.opMsg(new BsonDocument("ok", new BsonDouble(0)).append("code", new BsonInt32(6)), 13));
    }

    private static byte[] query(boolean write, String comment) {
        return Client.Pg.query(Client.Pg.words(write, comment, 480));
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

    private static byte[] find(String id, int number) {
        byte[] message = MongoMessage.opMsg(
                new BsonDocument("find", new BsonString("e"))
                        .append("filter", new BsonDocument())
                        .append("comment", new BsonString("id=" + id + ",c=any,cluster=1,session=s7"))
                        .append("maxTimeMS", new BsonInt32(300))
                        .append("$db", new BsonString("orders")),
                0);
        java.nio.ByteBuffer.wrap(message)
                .order(java.nio.ByteOrder.LITTLE_ENDIAN)
                .putInt(4, number);
        return message;
    }

    private void exchanges() throws IOException {
        List<String> words = new ArrayList<>(List.of(
                "convert",
                "--mongodb-port",
                "" + StoredData.MONGODB_PORT,
                "--to",
                folder.resolve(StoredData.EXCHANGES).toString()));
        try (Stream<Path> files = Files.list(folder.resolve(StoredData.ROTATED))) {
            files.sorted().forEach(file -> words.add(file.toString()));
        }
        if (TrafficCommand.run(words, new PrintWriter(System.out, false, StandardCharsets.UTF_8)) != 0) {
            throw new IOException("the recording can't be converted");
        }
    }
}
