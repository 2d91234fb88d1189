package mintstair.program;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import mintstair.standin.Client;
import mintstair.standin.MongoHost;
import mintstair.standin.StandInHost.HostBehavior;
import mintstair.wire.MongoMessage;
import org.bson.BsonArray;
import org.bson.BsonDocument;
import org.bson.BsonInt32;
import org.bson.BsonInt64;
import org.bson.BsonString;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The MongoDB front from outside: the program, stand-in hosts, and clients that follow the specification. */
class MongoFrontTest {
    private static final long AHEAD = System.currentTimeMillis() + 3_600_000;
    private static final int BOARDS = 120;
    /** Each takes 24 bytes in a message, and many times that in memory. */
    private static final int BOARD_PIECES = 4_000;

    private MongoHost primary;
    private MongoHost replica;
    private Program program;
    private Client.Mongo client;

    @BeforeEach
    void start() throws IOException {
        primary = new MongoHost("p", true, AHEAD);
        replica = new MongoHost("r", false, AHEAD);
        program = Program.serve(
                9,
                "",
                false,
                "{\"mongodb\":{\"listen\":\"127.0.0.1:0\",\"hosts\":{\"rev\":1," + "\"all\":true,\"targets\":["
                        + primary.listed("SERVING") + "," + replica.listed("SERVING") + "]}}}");
        client = new Client.Mongo(program.port(1));
    }

    @AfterEach
    void stop() throws IOException {
        client.close();
        program.close();
        primary.close();
        replica.close();
    }

    private static BsonDocument find(String id, String more) {
        return BsonDocument.parse(
                "{find: 'e', comment: {id: '" + id + "', c: 'any', cluster: 1}, maxTimeMS: 4000" + more + "}");
    }

    private int code(BsonDocument command) throws IOException {
        return client.command(command).getNumber("code", new BsonInt32(0)).intValue();
    }

    @Test
    void handshakeOfNewAndOldDriversAndPing() throws IOException {
        BsonDocument hello = client.command(BsonDocument.parse("{hello: 1}"));
        assertTrue(hello.getBoolean("isWritablePrimary").getValue()
                && hello.getNumber("maxWireVersion").intValue() >= 17);
        assertFalse(hello.containsKey("logicalSessionTimeoutMinutes"), "without sessions drivers retry no writes");
        assertEquals(
                1,
                client.command(BsonDocument.parse("{ping: 1}")).getNumber("ok").intValue());
        byte[] query = MongoMessage.encodeDocument(BsonDocument.parse("{isMaster: 1}"));
        byte[] name = "admin.$cmd\0".getBytes(UTF_8);
        client.raw(ByteBuffer.allocate(28 + name.length + query.length)
                .order(ByteOrder.LITTLE_ENDIAN)
                .putInt(28 + name.length + query.length)
                .putInt(77)
                .putInt(0)
                .putInt(MongoMessage.OP_QUERY)
                .putInt(0)
                .put(name)
                .putInt(0)
                .putInt(-1)
                .put(query)
                .array());
        byte[] reply = client.in.readNBytes(36);
        assertEquals(77, Integer.reverseBytes(ByteBuffer.wrap(reply).getInt(8)));
        assertEquals(
                MongoMessage.OP_REPLY,
                Integer.reverseBytes(ByteBuffer.wrap(reply).getInt(12)));
    }

    @Test
    void badRequestsAreAnsweredAndNotPassedOn() throws IOException {
        assertEquals(2, code(BsonDocument.parse("{find: 'e', maxTimeMS: 100}")));
        assertEquals(2, code(BsonDocument.parse("{find: 'e', comment: 'id=1,c=nothing,cluster=1'}")));
        assertEquals(2, code(BsonDocument.parse("{find: 'e', comment: 'id=1,c=any,cluster=77'}")));
        assertEquals(2, code(BsonDocument.parse("{insert: 'e', documents: [], comment: 'id=1,c=any,cluster=1'}")));
        assertEquals(2, code(BsonDocument.parse("{update: 'e', txnNumber: 1, comment: 'id=1,c=write,cluster=1'}")));
        assertEquals(59, code(BsonDocument.parse("{dropDatabase: 1}")));
        assertEquals(43, code(BsonDocument.parse("{getMore: NumberLong(5), collection: 'e'}")));
        client.raw(ByteBuffer.allocate(64).putInt(0x40000000).putInt(1).array());
        assertEquals(9, client.read().getNumber("code").intValue());
        assertEquals(-1, client.in.read(), "after garbage the connection ends");
        assertTrue(primary.requestIds.isEmpty() && replica.requestIds.isEmpty());
    }

    @Test
    void refusalsSayThatARetryIsHarmlessAndFailuresDoNot() throws IOException {
        primary.behaviors.put("full", HostBehavior.FULL);
        primary.behaviors.put("broken", HostBehavior.BREAK);
        BsonDocument insert = BsonDocument.parse("{insert: 'e', documents: [{a: 1}], maxTimeMS: 100}");
        BsonDocument refused =
                client.command(insert.clone().append("comment", new BsonString("id=full,c=write,cluster=1")));
        assertEquals(462, refused.getNumber("code").intValue());
        assertTrue(refused.getArray("errorLabels").contains(new BsonString("RetryableWriteError")), refused.toJson());
        assertTrue(refused.getNumber("retryAfterMS").intValue() > 0);
        // The primary rests after its refusal: with little time the next write would be refused before that is over.
        BsonDocument failed = client.command(insert.clone()
                .append("maxTimeMS", new BsonInt32(4000))
                .append("comment", new BsonString("id=broken,c=write,cluster=1")));
        assertEquals(6, failed.getNumber("code").intValue());
        assertFalse(failed.containsKey("errorLabels"));
        assertEquals(
                1, primary.requestIds.stream().filter("broken"::equals).count(), "what may have run is not resent");
    }

    /** Whether a client that comes anew is served; one that has been idle may be let go in favor of others. */
    private boolean isServed(BsonDocument command) {
        try (Client.Mongo newClient = new Client.Mongo(program.port(1))) {
            return newClient.command(command).getNumber("ok").intValue() == 1;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Guards against a heap that documents of many small fields fill while the primary does not reply. */
    @Test
    void writesToAPrimaryThatHangsAreAllAnsweredAndOthersAreServed() throws IOException {
        BsonArray board = new BsonArray();
        for (int i = 0; i < BOARD_PIECES; i++) {
            board.add(new BsonDocument("x", new BsonInt32(i % 19)).append("y", new BsonInt32(i / 19 % 19)));
        }
        List<Client.Mongo> writers = new ArrayList<>();
        for (int i = 0; i < BOARDS; i++) {
            primary.behaviors.put("w" + i, HostBehavior.SILENT);
            BsonDocument insert = BsonDocument.parse("{insert: 'e', maxTimeMS: 4000, $db: 'orders'}")
                    .append("documents", new BsonArray(List.of(new BsonDocument("board", board))))
                    .append("comment", new BsonString("id=w" + i + ",c=write,cluster=1"));
            Client.Mongo writer = new Client.Mongo(program.port(1));
            writer.raw(MongoMessage.opMsg(insert, 0));
            writers.add(writer);
        }
        // The hosts of the test share its processors: connections to them may time out for a moment.
        Program.await(() -> isServed(find("r", "")), "a read to be served");
        int rejected = 0;
        for (Client.Mongo writer : writers) {
            String answer = writer.answer();
            assertTrue(answer.equals("failed") || answer.startsWith("refused "), answer);
            rejected += answer.startsWith("refused ") ? 1 : 0;
            writer.close();
        }
        assertTrue(rejected > 0, "requests beyond the memory for them are rejected");
        assertEquals(List.of(), program.lines("unexpected"));
    }

    /** Guards against commands that are dropped because too many, or too large ones, were sent at once. */
    @Test
    void commandsSentAtOnceAreAllAnsweredAndAnUnfinishedOneIsAnError() throws IOException {
        ByteArrayOutputStream commands = new ByteArrayOutputStream();
        BsonString value = new BsonString("v".repeat(60_000));
        for (int i = 0; i < 20; i++) {
            BsonDocument insert = new BsonDocument("insert", new BsonString("e"))
                    .append("documents", new BsonArray(List.of(new BsonDocument("a", value))))
                    .append("comment", new BsonString("id=w" + i + ",c=write,cluster=1"))
                    .append("maxTimeMS", new BsonInt32(4000))
                    .append("$db", new BsonString("orders"));
            commands.writeBytes(MongoMessage.opMsg(insert, 0));
        }
        for (int i = 0; i < 100; i++) {
            commands.writeBytes(MongoMessage.opMsg(find("r" + i, ", $db: 'orders'"), 0));
        }
        byte[] unfinished = MongoMessage.opMsg(find("unfinished", ", $db: 'orders'"), 0);
        commands.write(unfinished, 0, unfinished.length - 1);
        client.raw(commands.toByteArray());
        for (int i = 0; i < 20; i++) {
            assertEquals("served w" + i, client.answer());
        }
        for (int i = 0; i < 100; i++) {
            assertEquals("served r" + i, client.answer());
        }
        assertEquals(9, client.read().getNumber("code").intValue());
        assertEquals(-1, client.in.read());
    }

    @Test
    void deadlineIsPassedOnAndKept() throws IOException {
        primary.behaviors.put("silent", HostBehavior.SILENT);
        BsonDocument late = client.command(BsonDocument.parse(
                "{insert: 'e', documents: [{a: 1}], maxTimeMS: 200, comment: {id: 'silent', c: 'write', cluster: 1}}"));
        assertEquals(50, late.getNumber("code").intValue(), late.toJson());
        long passedOn = primary.commands.stream()
                .filter(c -> c.containsKey("insert"))
                .findFirst()
                .get()
                .getNumber("maxTimeMS")
                .longValue();
        assertTrue(passedOn > 0 && passedOn <= 200, "told to wait " + passedOn);
    }

    /** Guards against a resend for a client that is gone, and against one message read as half of two. */
    @Test
    void clientThatDropsItsWriteHalfwayOrAfterwardsCausesNoResend() throws IOException {
        primary.behaviors.put("gone", HostBehavior.SILENT);
        try (Client.Mongo half = new Client.Mongo(program.port(1));
                Client.Mongo whole = new Client.Mongo(program.port(1))) {
            byte[] words = MongoMessage.opMsg(
                    BsonDocument.parse(
                            "{insert: 'e', documents: [{a: 1}], comment: 'id=half,c=write,cluster=1', $db: 'orders'}"),
                    0);
            half.raw(Arrays.copyOf(words, words.length - 1));
            whole.send(true, "id=gone,c=write,cluster=1", 4000);
            Program.await(() -> primary.requestIds.contains("gone"), "the write");
        }
        // Later requests pass the same pools: had anything been resent, it would have come before them.
        assertEquals("served after", client.ask(true, "id=after,c=write,cluster=1", 4000));
        assertEquals(List.of("gone", "after"), List.copyOf(primary.requestIds));
    }

    @Test
    void cursorIsReadOnAtItsHostAndFreedWhenKilled() throws IOException {
        long id = client.command(find("cursor1", ""))
                .getDocument("cursor")
                .getNumber("id")
                .longValue();
        MongoHost holder = replica.cursors.isEmpty() ? primary : replica;
        assertTrue(id != 0 && !holder.cursors.contains(id), "clients get ids of the proxy's own");
        BsonDocument more = client.command(BsonDocument.parse("{getMore: NumberLong('" + id + "'), collection: 'e'}"));
        assertEquals(1, more.getDocument("cursor").getArray("nextBatch").size(), more.toJson());
        long other = client.command(find("cursor2", ""))
                .getDocument("cursor")
                .getNumber("id")
                .longValue();
        BsonDocument killed = client.command(new BsonDocument("killCursors", new BsonString("e"))
                .append("cursors", new BsonArray(List.of(new BsonInt64(other), new BsonInt64(5)))));
        assertEquals(1, killed.getArray("cursorsKilled").size());
        assertEquals(1, killed.getArray("cursorsNotFound").size());
        Program.await(() -> primary.cursors.size() + replica.cursors.size() == 1, "the host to free the cursor");
    }

    /** Guards against stale data: the replica that holds the cursor has fallen behind what the class allows. */
    @Test
    void cursorOfAReplicaThatFellBehindIsNotFoundAndFreed() throws IOException {
        client.command(find("first", ""));
        Program.await(() -> replica.requestIds.contains("first"), "the replica's position");
        BsonDocument read = BsonDocument.parse("{find: 'e', comment: {id: 'cursor', c: 'session', cluster: 1, after: "
                + "NumberLong('" + (AHEAD - 5000) + "')}, maxTimeMS: 4000}");
        long id = client.command(read).getDocument("cursor").getNumber("id").longValue();
        assertEquals(1, replica.cursors.size());
        BsonDocument more = client.command(BsonDocument.parse("{getMore: NumberLong('" + id + "'), collection: 'e', "
                + "comment: {after: NumberLong('" + (AHEAD + 5000) + "')}, maxTimeMS: 500}"));
        assertEquals(43, more.getNumber("code").intValue(), more.toJson());
        Program.await(() -> replica.cursors.isEmpty(), "the host to free the cursor");
        assertEquals(1, replica.requestIds.stream().filter("cursor"::equals).count(), "no getMore came to the replica");
    }
}
