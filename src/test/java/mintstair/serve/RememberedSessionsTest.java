package mintstair.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import mintstair.backend.mongo.MongoProtocol;
import mintstair.config.EndpointListReader;
import mintstair.config.InstanceSettings;
import mintstair.config.Json;
import mintstair.front.ClientMemoryBudget;
import mintstair.front.mongo.MongoFront;
import mintstair.program.Program;
import mintstair.proxy.EventLoop;
import mintstair.request.EndpointList;
import mintstair.standin.Client;
import mintstair.standin.MongoHost;
import org.bson.BsonDocument;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Reads of sessions whose last write the proxy remembers, at MongoDB hosts that report as MongoDB documents it. */
class RememberedSessionsTest {
    private static final long MAX_HELD_BYTES = 16L * 1024 * 1024;
    private static final int READS = 20;
    private static final int CURSOR_NOT_FOUND = 43;
    /** The start of a past second, by the clock of hosts and proxy. */
    private static final long SECOND_START = System.currentTimeMillis() / 1000 * 1000 - 2_000;

    private final EventLoop loop = new EventLoop();
    private final TCPNIOTransport transport = ClientTransport.create();
    private MongoHost primary;
    private MongoHost replica;
    private Client.Mongo client;
    private int requests;

    @BeforeEach
    void start() throws IOException {
        primary = new MongoHost("p", true, SECOND_START);
        replica = new MongoHost("r", false, SECOND_START);
        primary.reportsAsDocumented = true;
        replica.reportsAsDocumented = true;
        InstanceSettings settings = TestSettings.with(
                "\"probing\":false",
                "\"probing\":true",
                "\"sessionMarks\":\"carried\"",
                "\"sessionMarks\":\"remembered\"");
        transport.start();
        ProtocolService service = new ProtocolService(
                loop,
                transport,
                new MongoProtocol(),
                1,
                settings,
                10,
                (dispatcher, counters) -> new MongoFront(
                        loop,
                        dispatcher,
                        transport,
                        counters,
                        new ClientMemoryBudget(MAX_HELD_BYTES, MAX_HELD_BYTES),
                        10));
        service.start(null, endpoints(), false);
        client = new Client.Mongo(service.acceptClients(new InetSocketAddress("127.0.0.1", 0), null));
    }

    private EndpointList endpoints() throws IOException {
        String targets = primary.listed("SERVING") + "," + replica.listed("SERVING");
        String list = "{\"rev\":1,\"all\":true,\"targets\":[" + targets + "]}";
        return EndpointListReader.read(Json.read(list.getBytes(StandardCharsets.UTF_8)));
    }

    @AfterEach
    void stop() throws IOException {
        client.close();
        loop.close();
        transport.shutdownNow();
        primary.close();
        replica.close();
    }

    /** Writes in the session; the host commits the write at {@code commitMillis}. */
    private void write(String session, long commitMillis) throws IOException {
        primary.positionMillis = commitMillis;
        BsonDocument reply = command("{insert: 'e', documents: [{a: 1}]", "write", session);
        assertEquals(1, reply.getNumber("ok").intValue(), reply.toJson());
    }

    /** Returns how many reads of the session the replica served. */
    private int readsAtReplica(String session) throws IOException {
        int seenBefore = replica.requestIds.size();
        for (int i = 0; i < READS; i++) {
            BsonDocument reply = command("{find: 'e'", "session", session);
            assertEquals(1, reply.getNumber("ok").intValue(), reply.toJson());
        }
        return replica.requestIds.size() - seenBefore;
    }

    private BsonDocument command(String start, String requestClass, String session) throws IOException {
        requests++;
        return command(start, "q" + requests, requestClass, session);
    }

    private BsonDocument command(String start, String id, String requestClass, String session) throws IOException {
        String comment = "id=" + id + ",c=" + requestClass + ",cluster=1,session=" + session;
        return client.command(BsonDocument.parse(start + ", comment: '" + comment + "', maxTimeMS: 4000}"));
    }

    /** Guards against stale reads where a host reports its commits in whole seconds, rounded down. */
    @Test
    void replicaBehindAWriteWithinTheSameSecondDoesNotServeItsSession() throws IOException {
        replica.positionMillis = SECOND_START + 100;
        write("earlier", SECOND_START - 500);
        write("later", SECOND_START + 300);
        assertTrue(readsAtReplica("earlier") > 0, "the replica has applied the write of the second before");
        assertEquals(0, readsAtReplica("later"), "the replica has not applied the write");
        replica.positionMillis = SECOND_START + 1_200;
        Program.await(() -> readsOne("later"), "the replica to serve the session once it has applied the write");
    }

    /** Guards against a cursor that is read on at a replica without the write that its session made meanwhile. */
    @Test
    void cursorOpenedBeforeAWriteOfItsSessionIsNotReadOnAtAReplicaBehindTheWrite() throws IOException {
        replica.positionMillis = SECOND_START + 100;
        write("s", SECOND_START - 500);
        BsonDocument opened = openCursorAtReplica("s");
        write("s", SECOND_START + 300);
        long id = opened.getDocument("cursor").getNumber("id").longValue();
        BsonDocument next = client.command(
                BsonDocument.parse("{getMore: NumberLong('" + id + "'), collection: 'e', maxTimeMS: 300}"));
        assertEquals(CURSOR_NOT_FOUND, next.getNumber("code").intValue(), next.toJson());
    }

    private BsonDocument openCursorAtReplica(String session) throws IOException {
        for (int i = 0; i < READS; i++) {
            BsonDocument reply = command("{find: 'e'", "cursor" + i, "session", session);
            if (!replica.cursors.isEmpty()) {
                return reply;
            }
        }
        throw new AssertionError("the replica served none of " + READS + " reads");
    }

    private boolean readsOne(String session) {
        try {
            return readsAtReplica(session) > 0;
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
