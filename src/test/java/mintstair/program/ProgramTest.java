package mintstair.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import mintstair.standin.Client;
import mintstair.standin.Discovery;
import mintstair.standin.PgHost;
import mintstair.standin.StandInHost.HostBehavior;
import mintstair.wire.PgWriter;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The platform's front from outside: the program, stand-in hosts and discovery, and clients on sockets. */
class ProgramTest {
    private static final long AHEAD = System.currentTimeMillis() + 3_600_000;
    private PgHost primary;
    private PgHost replica;
    private Discovery discovery;
    private Program program;

    @BeforeEach
    void start() throws IOException {
        primary = new PgHost("p", true, AHEAD);
        replica = new PgHost("r", false, AHEAD);
        String list = primary.listed("SERVING") + "," + replica.listed("SERVING");
        discovery = new Discovery(list);
        program = Program.serve(discovery.port(), list, true, null);
    }

    @AfterEach
    void stop() throws IOException {
        program.close();
        discovery.close();
        primary.close();
        replica.close();
    }

    @Test
    void startupQueryAndEmptyQueryInOneWriteAreAnsweredInTurn() throws IOException {
        try (Client.Pg client = new Client.Pg(program.port(0), true)) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.writeBytes(Client.Pg.startup());
            all.writeBytes(Client.Pg.query(""));
            all.writeBytes(Client.Pg.query(Client.Pg.words(true, "id=one,c=write,cluster=1", 4000)));
            all.writeBytes(Client.Pg.query(Client.Pg.words(false, "id=two,c=any,cluster=1", 4000)));
            client.raw(all.toByteArray());
            assertEquals("nothing", client.answer());
            assertEquals("empty", client.answer());
            assertEquals("served one", client.answer());
            assertEquals("served two", client.answer());
        }
    }

    @Test
    void badInputGetsAProtocolErrorAndIsNotPassedOn() throws IOException {
        int port = program.port(0);
        try (Client.Pg client = new Client.Pg(port)) {
            for (String query : new String[] {
                "SELECT 1",
                "SELECT payload FROM entries WHERE ref = '7f' /* id=1 */",
                "SELECT '7f' /* id=1,c=any,cluster=1,d=x */",
                "DROP TABLE x /* id=1,c=any,cluster=1,d=9 */",
                "SELECT '7f'; SELECT 2 /* id=1,c=any,cluster=1,d=9 */",
                "SELECT '7f' /* id=1,c=no,cluster=1,d=9 */",
                "SELECT '7f' /* id=1,c=any,cluster=9,d=9 */",
                "INSERT INTO e VALUES ('7f') /* id=1,c=any,cluster=1,d=9 */"
            }) {
                client.raw(Client.Pg.query(query));
                assertEquals("failed", client.answer(), query);
                assertEquals("08P01", client.code, query);
            }
            assertEquals("served fine", client.ask(false, "id=fine,c=any,cluster=1", 4000));
            client.raw(new byte[] {'Q', 0x7f, 0, 0, 0});
            assertEquals("failed", client.answer());
            assertEquals(-1, client.in.read(), "garbage ends the connection");
        }
        byte[] startup = new PgWriter().packet(77, "user", "").bytes();
        for (byte[] garbage : new byte[][] {{0, 0, 0, 1, 9, 9, 9, 9}, startup}) {
            try (Client.Pg client = new Client.Pg(port, true)) {
                client.raw(garbage);
                assertEquals("failed", client.answer());
            }
        }
        assertTrue(primary.requestIds.size() + replica.requestIds.size() == 1, "only the good one was passed on");
    }

    @Test
    void writeThatMayHaveRunIsFailedOnceAndOneTurnedAwayIsRefusedWithAComeBack() throws IOException {
        primary.behaviors.put("broken", HostBehavior.BREAK);
        primary.behaviors.put("full", HostBehavior.FULL);
        try (Client.Pg client = new Client.Pg(program.port(0))) {
            assertEquals("failed", client.ask(true, "id=broken,c=write,cluster=1", 2000));
            assertEquals(1, primary.requestIds.stream().filter("broken"::equals).count());
            String refused = client.ask(true, "id=full,c=write,cluster=1", 100);
            assertTrue(refused.startsWith("refused ") && !refused.equals("refused 0"), refused);
        }
    }

    /** A host that accepts and never speaks: its requests go elsewhere or end in time, and others are served. */
    @Test
    void silentHostCostsNoAnswer() throws IOException {
        replica.behaviors.put("lost", HostBehavior.SILENT);
        primary.behaviors.put("lost", HostBehavior.SILENT);
        try (Client.Pg client = new Client.Pg(program.port(0))) {
            assertTrue(client.ask(false, "id=lost,c=any,cluster=1", 300).startsWith("refused"));
            assertEquals("served next", client.ask(false, "id=next,c=any,cluster=1", 4000));
        }
    }

    @Test
    void watchTellsOfDrainsAndABrokenListKeepsTheLast() throws IOException {
        try (Client.Pg client = new Client.Pg(program.port(0))) {
            discovery.publish("{\"uid\":17}");
            int asked = discovery.queries.size();
            Program.await(() -> discovery.queries.size() > asked + 1, "the watch to ask again");
            assertEquals("served kept", client.ask(false, "id=kept,c=any,cluster=1", 4000));
            discovery.publish(primary.listed("SERVING") + "," + replica.listed("DRAINING"));
            // The next question alone proves nothing: it may be the one that brings the list.
            program.awaitFigure("db_hosts_excluded=1");
            int before = replica.requestIds.size();
            for (int i = 0; i < 20; i++) {
                assertEquals("served after" + i, client.ask(false, "id=after" + i + ",c=any,cluster=1", 4000));
            }
            assertTrue(replica.requestIds.size() <= before + 1, "a draining host gets nothing new");
        }
    }

    /**
     * SIGHUP: another discovery is watched at once, the last list serves until it speaks, a bad file changes nothing.
     */
    @Test
    void hangUpReadsTheConfigurationAnewAndServingGoesOn() throws Exception {
        int port = program.port(0);
        try (Client.Pg client = new Client.Pg(port);
                Discovery next = new Discovery(primary.listed("SERVING") + "," + replica.listed("DRAINING"))) {
            assertEquals("served before", client.ask(false, "id=before,c=any,cluster=1", 4000));
            program.reload("{\"name\":\"n1\"}");
            Program.await(
                    () -> program.lines("mintstair: the old settings stay: ").size() == 1, "a line on the bad file");
            assertEquals("served kept", client.ask(false, "id=kept,c=any,cluster=1", 4000));
            for (int i = 0; i < 3; i++) {
                program.reload(Program.config(next.port(), primary.listed("SERVING"), true));
            }
            Program.await(() -> next.queries.stream().anyMatch(query -> query.contains("index=")), "the new discovery");
            int before = replica.requestIds.size();
            for (int i = 0; i < 20; i++) {
                assertEquals("served new" + i, client.ask(false, "id=new" + i + ",c=any,cluster=1", 4000));
            }
            assertTrue(replica.requestIds.size() <= before + 1, "the new discovery's list is in force");
        }
        program.terminate();
        program.reload(Program.config(discovery.port(), primary.listed("SERVING"), true));
        assertEquals(0, program.exit());
    }

    /** SIGTERM while a request is held: it is answered, a new client is still served, and the end is a good one. */
    @Test
    void terminationFinishesWhatIsHeldAndCounts() throws Exception {
        primary.behaviors.put("held", HostBehavior.SILENT);
        int port = program.port(0);
        try (Client.Pg client = new Client.Pg(port)) {
            client.send(true, "id=held,c=write,cluster=1", 1500);
            Program.await(() -> primary.requestIds.contains("held"), "the write");
            program.terminate();
            try (Client.Pg late = new Client.Pg(port)) {
                assertEquals("served late", late.ask(false, "id=late,c=any,cluster=1", 4000));
            }
            assertEquals("failed", client.answer());
        }
        assertEquals(0, program.exit());
        Program.await(() -> !program.lines("counters: ").isEmpty(), "the counters");
        String counters = program.lines("counters: ").get(0);
        assertTrue(counters.contains("taken=2 served=1 refused=0 failed=1 abandoned=0"), counters);
    }

    /** What is recorded and played again reaches the hosts once more, in order, and is answered. */
    @Test
    void recordedTrafficIsPlayedOnceAndInOrder(@TempDir Path folder) throws Exception {
        Path file = folder.resolve("clients.pcap");
        try (Program recording = Program.serve(
                discovery.port(), primary.listed("SERVING"), true, "{\"record\":{\"file\":\"" + file + "\"}}")) {
            int port = recording.port(0);
            try (Client.Pg client = new Client.Pg(port)) {
                for (int i = 0; i < 5; i++) {
                    assertEquals("served w" + i, client.ask(true, "id=w" + i + ",c=write,cluster=1", 4000));
                }
            }
            recording.terminate();
            assertEquals(0, recording.exit());
            List<String> once = List.copyOf(primary.requestIds);
            try (Program replay = new Program(
                    "replay", "--to", "127.0.0.1:" + program.port(0), "--port", "" + port, file.toString())) {
                assertEquals(0, replay.exit());
                Program.await(
                        () -> replay.lines("connections=1 incomplete=0 sent=6 answered=6")
                                        .size()
                                == 1,
                        "the line on the replay: " + replay.printed);
            }
            assertEquals(once, List.copyOf(primary.requestIds).subList(5, 10));
        }
    }

    @Test
    void countersAreToldOnRequest() throws IOException {
        try (Client.Pg client = new Client.Pg(program.port(0))) {
            assertEquals("served one", client.ask(false, "id=one,c=any,cluster=1", 4000));
            client.raw(Client.Pg.query("SHOW counters"));
            String counters = client.answer();
            assertTrue(counters.startsWith("served ") && counters.contains("taken=1 served=1 "), counters);
        }
    }

    @Test
    void badConfigurationIsOnePlainLineAndStatusTwo(@TempDir Path folder) throws Exception {
        Path file = Files.writeString(folder.resolve("c.json"), "{\"name\":\"n1\"}");
        for (String[] arguments : new String[][] {
            {},
            {"serve", folder.resolve("none.json").toString()},
            {"serve", file.toString()},
            {"serve", "--operator", file.toString(), file.toString()},
            {"fly"}
        }) {
            try (Program bad = new Program(arguments)) {
                assertEquals(2, bad.exit(), Arrays.toString(arguments));
                Program.await(() -> bad.lines("").size() == 1, "one line from " + Arrays.toString(arguments));
                assertTrue(bad.lines("mintstair: ").size() == 1, bad.printed.toString());
            }
        }
    }
}
