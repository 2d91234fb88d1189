package mintstair.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import mintstair.standin.Client;
import mintstair.standin.Discovery;
import mintstair.standin.PgHost;
import mintstair.standin.StandInHost.HostBehavior;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests that each request accepted before or during a shutdown gets its one response before SIGKILL may be sent,
 * whatever its state is at SIGTERM.
 */
class ShutdownTest {
    /** Replication positions in the future, so that no replica lags. */
    private static final long POSITION_MILLIS = System.currentTimeMillis() + 3_600_000;
    /** The minimum time from SIGTERM to SIGKILL: the longest deadline, limited to 3 s, and 0.7 s. */
    private static final long KILL_DELAY_MILLIS = 3_700;

    private static final long HOST_DELAY_NANOS = 40_000_000;

    private PgHost primary;
    private PgHost replica;
    private Discovery discovery;
    private String known;
    private Program program;

    @BeforeEach
    void start() throws IOException {
        primary = new PgHost("p", true, POSITION_MILLIS);
        replica = new PgHost("r", false, POSITION_MILLIS);
        known = primary.listed("SERVING") + "," + replica.listed("SERVING");
        discovery = new Discovery(known);
    }

    @AfterEach
    void stop() throws IOException {
        if (program != null) {
            program.close();
        }
        discovery.close();
        primary.close();
        replica.close();
    }

    /** Guards against an incomplete message that delays the exit, however short the deadlines are. */
    @Test
    void clientInTheMiddleOfAMessageGetsAnErrorBeforeTheKill() throws Exception {
        program = Program.serve(
                Program.config(discovery.port(), known, false).replace("\"deadlineS\":5", "\"deadlineS\":0.5"), null);
        byte[] message = Client.Pg.query(Client.Pg.words(false, "id=half,c=any,cluster=1", 500));
        try (Client.Pg client = new Client.Pg(program.port(0))) {
            client.raw(Arrays.copyOf(message, message.length / 2));
            long signalledNanos = System.nanoTime();
            program.terminate();
            assertEquals("failed", client.answer());
            assertEquals(0, program.exit());
            long tookMillis = (System.nanoTime() - signalledNanos) / 1_000_000;
            // SIGKILL may be sent after 1.2 s; without a shutdown an incomplete message times out after 2.5 s.
            assertTrue(tookMillis < 2_000, "ended after " + tookMillis + " ms");
        }
        assertEquals(1, program.lines("counters: ").size());
    }

    /** Guards against pipelined commands that get no response because the process exits. */
    @Test
    void pipelinedCommandsAreAllAnsweredBeforeTheEnd() throws Exception {
        program = Program.serve(discovery.port(), known, false, null);
        replica.observer = request -> LockSupport.parkNanos(HOST_DELAY_NANOS);
        primary.observer = replica.observer;
        try (Client.Pg client = new Client.Pg(program.port(0))) {
            ByteArrayOutputStream commands = new ByteArrayOutputStream();
            for (int i = 0; i < 300; i++) {
                commands.writeBytes(Client.Pg.query(Client.Pg.words(false, "id=r" + i + ",c=any,cluster=1", 4_000)));
            }
            client.raw(commands.toByteArray());
            assertEquals("served r0", client.answer());
            long signalledNanos = System.nanoTime();
            program.terminate();
            for (int i = 1; i < 300; i++) {
                String answer = client.answer();
                assertTrue(answer.equals("served r" + i) || answer.startsWith("refused "), i + ": " + answer);
            }
            assertEquals(-1, client.in.read());
            long tookMillis = (System.nanoTime() - signalledNanos) / 1_000_000;
            assertTrue(tookMillis < KILL_DELAY_MILLIS, "answers after " + tookMillis + " ms");
        }
        assertEquals(0, program.exit());
    }

    private static String inGroup(int group, String listed, int port) {
        return listed.replace("\"pod_group\":1", "\"pod_group\":" + group)
                .replaceAll("\"uid\":\"(.)\"", "\"uid\":\"$1" + group + "\"")
                .replaceAll("127.0.0.1:\\d+", "127.0.0.1:" + port);
    }

    /**
     * Covers requests that wait for a primary, for a connection, for the rest of their message, for a reply, for the
     * rest of a reply, and for a retry; hosts hang, and signals are repeated.
     */
    @Test
    void requestInEachStateHasItsAnswerBeforeTheEnd() throws Exception {
        try (ServerSocket silentHost = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"))) {
            // Replica set 2 has no primary; the primary of replica set 3 accepts connections and sends nothing.
            known += "," + inGroup(2, replica.listed("SERVING"), replica.port()) + ","
                    + inGroup(3, primary.listed("SERVING"), silentHost.getLocalPort());
            discovery.publish(known);
            primary.behaviors.put("sent", HostBehavior.SILENT);
            replica.behaviors.put("read", HostBehavior.SILENT);
            primary.behaviors.put("read", HostBehavior.SILENT);
            primary.behaviors.put("half", HostBehavior.LONG_TORN);
            primary.behaviors.put("again", HostBehavior.FULL);
            replica.behaviors.put("again", HostBehavior.FULL);
            program = Program.serve(
                    Program.config(discovery.port(), known, false).replace("\"deadlineS\":5", "\"deadlineS\":20"),
                    null);
            int port = program.port(0);
            List<Client.Pg> clients = new ArrayList<>();
            for (int i = 0; i < 8; i++) {
                clients.add(new Client.Pg(port));
            }
            clients.get(0).send(true, "id=waits,c=write,cluster=2", 15_000);
            clients.get(1).send(true, "id=connects,c=write,cluster=3", 15_000);
            clients.get(2).send(true, "id=sent,c=write,cluster=1", 15_000);
            clients.get(3).send(false, "id=read,c=any,cluster=1", 15_000);
            clients.get(4).send(true, "id=half,c=write,cluster=1", 15_000);
            clients.get(7).send(false, "id=again,c=any,cluster=1", 15_000);
            byte[] late = Client.Pg.query(Client.Pg.words(false, "id=late,c=any,cluster=1", 15_000));
            clients.get(5).raw(Arrays.copyOf(late, late.length / 2));
            assertEquals('T', clients.get(4).in.read(), "half an answer");
            Program.await(
                    () -> primary.requestIds.contains("again") && replica.requestIds.contains("again"),
                    "an attempt at each host");
            Program.await(
                    () -> primary.requestIds.contains("sent")
                            && (replica.requestIds.contains("read") || primary.requestIds.contains("read")),
                    "the sends");
            silentHost.accept();
            long signalledNanos = System.nanoTime();
            program.terminate();
            Program.await(() -> !program.lines("ending: ").isEmpty(), "the shutdown to begin");
            program.terminate();
            program.reload(Program.config(discovery.port(), known, false));
            clients.get(5).raw(Arrays.copyOfRange(late, late.length / 2, late.length));
            assertEquals("served late", clients.get(5).answer());
            assertEquals(
                    "served rests",
                    clients.get(6).ask(false, "id=rests,c=any,cluster=1", 15_000),
                    "on a resting connection");
            assertRefused(clients.get(0));
            assertRefused(clients.get(1));
            assertEquals("failed", clients.get(2).answer(), "it may have run");
            assertRefused(clients.get(3));
            assertRefused(clients.get(7));
            long tookMillis = (System.nanoTime() - signalledNanos) / 1_000_000;
            assertTrue(tookMillis < KILL_DELAY_MILLIS, "answers after " + tookMillis + " ms");
            primary.trailingAllowed.release();
            int rest = 0;
            try {
                rest = clients.get(4).in.readAllBytes().length;
            } catch (IOException e) {
                // The connection was reset, which the client can detect as well.
            }
            assertTrue(rest < PgHost.LONG_VALUE_LENGTH, "the long reply must be incomplete");
            assertEquals(0, program.exit());
            for (Client.Pg client : clients) {
                client.close();
            }
            assertEquals(1, primary.requestIds.stream().filter("sent"::equals).count());
        }
    }

    private static void assertRefused(Client.Pg client) throws IOException {
        String answer = client.answer();
        assertTrue(answer.startsWith("refused "), answer);
    }

    /**
     * Guards against connections in the kernel's backlog that are reset by the shutdown: the process is stopped from
     * before it closes its listener until after, while a client connects and sends a request.
     */
    @Test
    void clientInTheBacklogAtTheShutdownIsAnswered() throws Exception {
        program = Program.serve(Program.config(discovery.port(), known, true), null);
        int port = program.port(0);
        long signalledNanos = System.nanoTime();
        program.terminate();
        Program.await(() -> !program.lines("ending: ").isEmpty(), "the shutdown to begin");
        program.signal("STOP");
        try (Client.Pg client = new Client.Pg(port, true)) {
            client.raw(Client.Pg.startup());
            client.send(false, "id=backlog,c=any,cluster=1", 5_000);
            // The listener is closed 0.8 s before SIGKILL may be sent; the client must be connected before that.
            long until = signalledNanos + (KILL_DELAY_MILLIS - 600) * 1_000_000L;
            Program.await(() -> System.nanoTime() > until, "the time at which the listener would be closed");
            program.signal("CONT");
            assertEquals("nothing", client.answer(), "the start-up");
            String answer = client.answer();
            assertTrue(answer.startsWith("refused ") || answer.startsWith("served "), answer);
        }
        assertEquals(0, program.exit());
    }

    /** SIGTERM as soon as clients can connect, while other parts of the program are still starting. */
    @Test
    void terminationDuringTheStartAnswersAcceptedRequests(@TempDir Path folder) throws Exception {
        StringBuilder members = new StringBuilder();
        for (String member : List.of("n1", "n2", "n3")) {
            try (ServerSocket free = new ServerSocket(0)) {
                members.append(members.isEmpty() ? "" : ",")
                        .append('"' + member + "\":\"127.0.0.1:" + free.getLocalPort() + '"');
            }
        }
        program = Program.serve(
                Program.config(discovery.port(), known, true),
                "{\"store\":{\"member\":\"n1\",\"members\":{" + members + "},\"folder\":\"" + folder + "\"}}");
        primary.behaviors.put("held", HostBehavior.SILENT);
        int port = program.port(0);
        try (Client.Pg client = new Client.Pg(port)) {
            client.send(true, "id=held,c=write,cluster=1", 1_000);
            Program.await(() -> primary.requestIds.contains("held"), "the write");
            program.terminate();
            assertEquals("failed", client.answer());
        }
        assertEquals(0, program.exit());
    }

    /** A part that cannot be started after clients could connect: the exit status still reports the failed start. */
    @Test
    void storeThatCannotStartEndsWithTheStatusOfAFault(@TempDir Path folder) throws Exception {
        Path taken = Files.writeString(folder.resolve("file"), "no folder");
        program = Program.serve(
                Program.config(discovery.port(), known, true),
                "{\"store\":{\"member\":\"n1\",\"members\":{\"n1\":\"127.0.0.1:1\"},\"folder\":\"" + taken + "\"}}");
        assertEquals(2, program.exit());
        assertEquals(1, program.lines("mintstair: ").size(), program.printed.toString());
    }

    /** SIGTERM before any client could connect. */
    @Test
    void terminationBeforeItServesEndsAtOnce() throws Exception {
        program = Program.serve(discovery.port(), known, true, null);
        Program.await(() -> !program.lines("control on ").isEmpty(), "the start to be under way");
        program.terminate();
        assertNotEquals(2, program.exit(), "no fault of the configuration");
        assertTrue(
                program.lines("unexpected").isEmpty()
                        && program.lines("Exception").isEmpty(),
                program.printed.toString());
    }

    /** SIGHUP while the program starts: the settings and the discovery of the changed file take effect. */
    @Test
    void hangUpDuringTheStartIsNotLost() throws Exception {
        try (Discovery next = new Discovery(known)) {
            program = Program.serve(discovery.port(), known, true, null);
            Program.await(() -> !program.lines("control on ").isEmpty(), "the start to be under way");
            program.reload(
                    Program.config(next.port(), known, true).replace("\"name\":\"any\"", "\"name\":\"fresh-one\""));
            try (Client.Pg client = new Client.Pg(program.port(0))) {
                program.awaitFigure("reloads_ok=1");
                assertEquals("served new", client.ask(false, "id=new,c=fresh-one,cluster=1", 4_000));
                Program.await(() -> !next.queries.isEmpty(), "the discovery that the file names now");
            }
        }
    }
}
