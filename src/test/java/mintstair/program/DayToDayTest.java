package mintstair.program;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.List;
import mintstair.standin.Client;
import mintstair.standin.Discovery;
import mintstair.standin.PgHost;
import mintstair.standin.StandInHost.HostBehavior;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What the staff do to a running proxy, from outside. */
class DayToDayTest {
    private static final long AHEAD = System.currentTimeMillis() + 3_600_000;
    private PgHost primary;
    private PgHost replica;
    private Discovery discovery;
    private Program program;

    @BeforeEach
    void start() throws IOException {
        primary = new PgHost("p", true, AHEAD);
        replica = new PgHost("r", false, AHEAD);
        discovery = new Discovery(list("SERVING"));
        program = Program.serve(discovery.port(), list("SERVING"), true, null);
    }

    private String list(String replicaIs) {
        return primary.listed("SERVING") + "," + replica.listed(replicaIs);
    }

    @AfterEach
    void stop() throws IOException {
        program.close();
        discovery.close();
        primary.close();
        replica.close();
    }

    /** Callers that keep their connections without a whole call must not keep the others out. */
    @Test
    void secondAddressAnswersAlongsideCallersThatSayNothing() throws IOException {
        Program.await(() -> says(program, "ok\n"), "the program to take clients");
        List<Socket> silent = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            Socket caller = new Socket("127.0.0.1", program.control());
            caller.getOutputStream().write("rea".getBytes(UTF_8));
            silent.add(caller);
        }
        assertEquals("ok\n", program.call("readyz\r\n"));
        assertEquals("fail\n", program.call("fly\n"));
        assertEquals("fail\n", program.call("x".repeat(300)));
        silent.get(0).setSoTimeout(20_000);
        assertTrue(endsAt(silent.get(0)), "the oldest gave way");
        for (Socket caller : silent) {
            caller.close();
        }
    }

    private static boolean endsAt(Socket caller) {
        try {
            return caller.getInputStream().read() == -1;
        } catch (IOException e) {
            return true;
        }
    }

    /** Each figure against what the clients heard and the hosts saw. */
    @Test
    void figuresAreWhatClientsAndHostsSaw() throws IOException {
        primary.behaviors.put("broken", HostBehavior.BREAK);
        primary.behaviors.put("full", HostBehavior.FULL);
        primary.behaviors.put("open", HostBehavior.SILENT);
        try (Client.Pg client = new Client.Pg(program.port(0));
                Client.Pg waits = new Client.Pg(program.port(0))) {
            for (int i = 0; i < 5; i++) {
                assertEquals("served s" + i, client.ask(false, "id=s" + i + ",c=any,cluster=1", 4000));
            }
            assertEquals("failed", client.ask(true, "id=broken,c=write,cluster=1", 2000));
            assertTrue(client.ask(true, "id=full,c=write,cluster=1", 100).startsWith("refused"));
            waits.send(true, "id=open,c=write,cluster=1", 5000);
            for (String line : new String[] {
                "served.any=5",
                "failed.write=1",
                "refused.write=1",
                "served.write=0",
                "in_flight=1",
                "db_hosts_known=2",
                "db_hosts_excluded=0",
                "reloads_ok=0",
                "reloads_failed=0"
            }) {
                program.awaitFigure(line);
            }
            program.awaitFigure("attempts=" + (primary.requestIds.size() + replica.requestIds.size()));
            discovery.publish(list("DRAINING"));
            program.awaitFigure("db_hosts_excluded=1");
            program.awaitFigure("db_hosts_known=2");
            assertTrue(program.call("telemetry\n").startsWith("ok\n")
                    && program.call("telemetry\n").endsWith("\neof\n"));
        }
        program.awaitFigure("in_flight=0");
    }

    /** A value of 4 MiB goes on whole; many at once that nobody reads hold up no other client, nor fill the heap. */
    @Test
    void longAnswersGoOnWhileOthersDoNotRead() throws IOException {
        List<Client.Pg> slow = new ArrayList<>();
        primary.behaviors.put("long", HostBehavior.LONG);
        replica.behaviors.put("long", HostBehavior.LONG);
        for (int i = 0; i < 40; i++) {
            primary.behaviors.put("slow" + i, HostBehavior.LONG);
            replica.behaviors.put("slow" + i, HostBehavior.LONG);
            slow.add(new Client.Pg(program.port(0)));
            slow.get(i).send(false, "id=slow" + i + ",c=any,cluster=1", 4000);
        }
        program.awaitFigure("in_flight=40");
        try (Client.Pg client = new Client.Pg(program.port(0))) {
            assertEquals("served quick", client.ask(false, "id=quick,c=any,cluster=1", 4000));
            assertEquals(
                    PgHost.LONG_VALUE_LENGTH + "served ".length(),
                    client.ask(false, "id=long,c=any,cluster=1", 4000).length());
            assertEquals("served next", client.ask(false, "id=next,c=any,cluster=1", 4000));
        }
        assertEquals(
                PgHost.LONG_VALUE_LENGTH + "served ".length(),
                slow.get(0).answer().length(),
                "one that reads late gets the whole");
        for (Client.Pg client : slow) {
            client.close();
        }
        program.awaitFigure("in_flight=0");
    }

    /** A host that breaks off in the middle of a value: the client can tell, and nothing is sent again. */
    @Test
    void longAnswerThatBreaksOffIsCutInItsMiddle() throws IOException {
        primary.behaviors.put("torn", HostBehavior.LONG_TORN);
        try (Client.Pg client = new Client.Pg(program.port(0))) {
            client.send(true, "id=torn,c=write,cluster=1", 1000);
            assertEquals('T', client.in.read());
            primary.trailingAllowed.release();
            int heard = client.in.readAllBytes().length;
            assertTrue(heard > 0 && heard < PgHost.LONG_VALUE_LENGTH / 2, "cut after " + heard);
        } catch (SocketException e) {
            // Cut while more was on its way: that tells as well.
        }
        program.awaitFigure("failed.write=1");
        assertEquals(1, primary.requestIds.size());
    }

    /** All of a file counts from SIGHUP on, or nothing of it; an open request keeps its class. */
    @Test
    void settingsAreTakenOverWholeOrNotAtAll() throws IOException {
        String before = Program.config(discovery.port(), list("SERVING"), true);
        String after = before.replace("\"name\":\"any\"", "\"name\":\"fresh-one\"")
                .replace("\"maxAttempts\":8", "\"maxAttempts\":2");
        replica.behaviors.put("old", HostBehavior.SILENT);
        primary.behaviors.put("old", HostBehavior.SILENT);
        try (Client.Pg client = new Client.Pg(program.port(0));
                Client.Pg waits = new Client.Pg(program.port(0))) {
            assertEquals("served one", client.ask(false, "id=one,c=any,cluster=1", 4000));
            waits.send(false, "id=old,c=any,cluster=1", 1500);
            program.awaitFigure("in_flight=1");
            String[] bad = {
                "",
                before.substring(0, before.length() / 2),
                before.replace("\"listen\"", "\"lost\""),
                before.replace("\"deadlineS\":5", "\"deadlineS\":\"5\""),
                before.replace("\"deadlineS\":5", "\"deadlineS\":0"),
                before.replace("\"maxAttempts\":8", "\"maxAttempts\":-1"),
                before.replace("\"worth\"", "\"lost\""),
                before.replace("\"connIdleS\"", "\"lost\""),
                before.replace("\"sloS\":5", "\"sloS\":0"),
                before + "}"
            };
            for (int i = 0; i < bad.length; i++) {
                assertTrue(!bad[i].equals(before), "case " + i);
                program.reload(bad[i].replace("\"name\":\"any\"", "\"name\":\"fresh-one\""));
                program.awaitFigure("reloads_failed=" + (i + 1));
                assertEquals(
                        i + 1,
                        program.lines("mintstair: the old settings stay: ").size(),
                        "one line each");
            }
            client.ask(false, "id=early,c=fresh-one,cluster=1", 4000);
            assertEquals("08P01", client.code);
            program.reload(after);
            program.awaitFigure("reloads_ok=1");
            assertEquals("served new", client.ask(false, "id=new,c=fresh-one,cluster=1", 4000));
            client.ask(false, "id=dropped,c=any,cluster=1", 4000);
            assertEquals("08P01", client.code);
            program.awaitFigure("served.fresh-one=1");
            program.awaitFigure("served.any=1");
            assertTrue(waits.answer().startsWith("refused"), "its class may still be repeated");
            program.awaitFigure("refused.any=1");
        }
    }

    /** A second process on the same address: no client is turned back, what was taken is answered, the first ends. */
    @Test
    void upgradeTurnsNoClientBack() throws Exception {
        int port = program.port(0);
        primary.behaviors.put("held", HostBehavior.SILENT);
        try (Client.Pg idle = new Client.Pg(port);
                Client.Pg holds = new Client.Pg(port)) {
            holds.send(true, "id=held,c=write,cluster=1", 1500);
            Program.await(() -> primary.requestIds.contains("held"), "the write");
            try (Program next = Program.serve(port, discovery.port(), list("SERVING"), true, null)) {
                assertEquals(port, next.port(0));
                Program.await(() -> says(next, "ok\n"), "the new process to take clients");
                program.terminate();
                for (int i = 0; i < 200; i++) {
                    try (Client.Pg client = new Client.Pg(port)) {
                        assertEquals("served u" + i, client.ask(false, "id=u" + i + ",c=any,cluster=1", 4000));
                    }
                }
                assertEquals("failed", holds.answer(), "what was taken is answered");
                assertEquals(-1, idle.in.read(), "a kept connection is let go");
                assertEquals(0, program.exit());
                assertEquals(List.of("ending: a successor listens"), program.lines("ending: "));
                try (Client.Pg client = new Client.Pg(port)) {
                    assertEquals("served last", client.ask(false, "id=last,c=any,cluster=1", 4000));
                }
            }
        }
    }

    private static boolean says(Program program, String answer) {
        try {
            return program.call("readyz\n").equals(answer);
        } catch (IOException e) {
            return false;
        }
    }
}
