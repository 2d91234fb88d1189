package mintstair.program;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import mintstair.control.MembersCommand;
import mintstair.standin.FaultRelay;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Several processes of the program that know each other, with faults on the links between them. */
class MembershipProgramTest {
    private final List<Program> programs = new ArrayList<>();
    private FaultRelay relay;

    private void start(int proxies) throws IOException {
        relay = new FaultRelay(proxies);
        for (int i = 0; i < proxies; i++) {
            programs.add(Program.member(relay, i, proxies));
        }
        for (Program program : programs) {
            program.awaitFigure("members_alive=" + proxies);
        }
    }

    @AfterEach
    void stop() throws Exception {
        programs.forEach(Program::close);
        relay.close();
    }

    private static void signal(Program program, String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(program.process.pid()))
                .start()
                .waitFor();
    }

    private static long figure(Program program, String name) throws IOException {
        for (String line : program.call("telemetry\n").split("\n")) {
            if (line.startsWith("svc." + name + "=")) {
                return Long.parseLong(line.substring(line.indexOf('=') + 1));
            }
        }
        throw new AssertionError("no figure " + name);
    }

    /** Everyone but these sees this many alive, and nobody in doubt. */
    private void awaitAlive(List<Program> among, int alive) {
        for (Program program : among) {
            program.awaitFigure("members_alive=" + alive);
            program.awaitFigure("members_suspect=0");
        }
    }

    /** A process that is gone is told from one that is silent: all know it far sooner than silence is believed. */
    @Test
    void processThatIsKilledIsKnownToAllSoonAndItsSuccessorIsTakenIn() throws Exception {
        start(5);
        Program victim = programs.get(3);
        victim.close();
        long killed = System.nanoTime();
        List<Program> others = programs.stream().filter(p -> p != victim).toList();
        for (Program program : others) {
            program.awaitFigure("members_dead=1");
        }
        long seconds = TimeUnit.NANOSECONDS.toSeconds(System.nanoTime() - killed);
        // The shortest suspicion of a silent member is 8 s; the design's bound for one that is gone is 3 s, on a
        // machine with time.
        assertTrue(seconds < 8, "known to all after " + seconds + " s");
        programs.set(3, Program.member(relay, 3, 5));
        awaitAlive(programs, 5);
        for (Program program : others) {
            program.awaitFigure("members_dead=0");
            assertEquals(0, figure(program, "member_false_deaths"), "a successor is no mistake");
        }
    }

    /** Told at its end, a member is neither suspected nor taken for cut off; the command shows it. */
    @Test
    void processThatEndsInOrderHasLeft() throws Exception {
        start(5);
        programs.get(4).terminate();
        for (Program program : programs.subList(0, 4)) {
            program.awaitFigure("members_left=1");
            program.awaitFigure("members_counted=4");
            assertEquals(0, figure(program, "members_dead"));
        }
        ByteArrayOutputStream shown = new ByteArrayOutputStream();
        int status = MembersCommand.run(
                new InetSocketAddress("127.0.0.1", programs.get(0).control()), new PrintStream(shown));
        assertEquals(0, status);
        List<String> lines = shown.toString(UTF_8).lines().toList();
        assertEquals(6, lines.size(), shown.toString(UTF_8));
        assertTrue(lines.get(0).startsWith("member m0 alive ") && lines.get(0).endsWith(" self"), lines.get(0));
        assertTrue(lines.stream().anyMatch(l -> l.startsWith("member m4 left ")), shown.toString(UTF_8));
        assertTrue(
                lines.get(5).startsWith("view version=") && lines.get(5).contains(" counted=4 largest=5"),
                lines.get(5));
    }

    /**
     * One that ends while it still starts is known to the others already: it tells them of that end as well, however
     * it comes.
     */
    @Test
    void processThatEndsBeforeItServesHasLeft() throws Exception {
        relay = new FaultRelay(3);
        programs.add(Program.member(relay, 0, 2));
        programs.get(0).port(0);
        Program starting = Program.member(relay, 1, 2);
        programs.add(starting);
        programs.get(0).awaitFigure("members_alive=2");
        starting.terminate();
        programs.get(0).awaitFigure("members_left=1");
        assertEquals(0, figure(programs.get(0), "members_dead"));
    }

    /**
     * Silence of 5 s is shorter than any suspicion: it is suspected, refutes, and is settled again; nobody is told
     * dead.
     */
    @Test
    void processThatStandsStillIsSuspectedAndRefutes() throws Exception {
        start(5);
        Program still = programs.get(2);
        still.awaitFigure("members_settled=1");
        List<Program> others = programs.stream().filter(p -> p != still).toList();
        signal(still, "STOP");
        long stopped = System.nanoTime();
        for (Program program : others) {
            program.awaitFigure("members_suspect=1");
        }
        Program.await(() -> System.nanoTime() - stopped > TimeUnit.SECONDS.toNanos(5), "5 s to pass");
        signal(still, "CONT");
        still.awaitFigure("member_stalls=1");
        awaitAlive(programs, 5);
        for (Program program : programs) {
            assertEquals(0, figure(program, "member_deaths"));
        }
        // Its figures are renewed each 0.1 s: the others may show that it refuted before they do.
        Program.await(
                () -> {
                    try {
                        return figure(still, "member_refutations") >= 1;
                    } catch (IOException e) {
                        return false;
                    }
                },
                "it to have refuted");
        still.awaitFigure("members_settled=1");
    }

    /**
     * Three of seven behind a cut: neither side thinks that it is the fleet, only the larger has a quorum; healed
     * they agree again.
     */
    @Test
    void sidesOfACutAgreeAgainAfterIt() throws Exception {
        start(7);
        relay.partition(3, FaultRelay.Link.CUT);
        List<Program> few = programs.subList(0, 3);
        List<Program> many = programs.subList(3, 7);
        for (Program program : few) {
            program.awaitFigure("members_quorum=0");
            program.awaitFigure("members_dead=4");
        }
        for (Program program : many) {
            program.awaitFigure("members_dead=3");
            assertEquals(1, figure(program, "members_quorum"));
            // They may run on the far side: they still count.
            assertEquals(7, figure(program, "members_counted"));
        }
        relay.partition(3, FaultRelay.Link.GOOD);
        long healed = System.nanoTime();
        awaitAlive(programs, 7);
        long seconds = TimeUnit.NANOSECONDS.toSeconds(System.nanoTime() - healed);
        assertTrue(seconds < 15, "agreed after " + seconds + " s");
    }

    /** Links that fail in one direction, or are slow, are gone round: nobody is declared dead. */
    @Test
    void linksThatFailOneWayOrAreSlowKillNobody() throws Exception {
        start(5);
        relay.setLink(0, 1, FaultRelay.Link.CUT);
        relay.setLink(2, 3, FaultRelay.Link.CUT);
        relay.setLinks(1, 4, new FaultRelay.Link(false, 300));
        relay.setLinks(0, 4, new FaultRelay.Link(false, 300));
        long begun = System.nanoTime();
        long before = figure(programs.get(0), "member_messages_sent");
        Program.await(
                () -> System.nanoTime() - begun > TimeUnit.SECONDS.toNanos(12),
                "12 s to pass, longer than a suspicion");
        assertTrue(figure(programs.get(0), "member_messages_sent") > before + 20, "they go on");
        relay.setLinks(0, 1, FaultRelay.Link.GOOD);
        relay.setLink(2, 3, FaultRelay.Link.GOOD);
        awaitAlive(programs, 5);
        for (Program program : programs) {
            assertEquals(0, figure(program, "member_deaths"));
        }
    }
}
