package mintstair.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Upgrades of a proxy that is a member of a fleet. Guards against a new process that ends because the old one holds the
 * member's address.
 */
class MembershipUpgradeTest {
    private final List<Program> programs = new ArrayList<>();

    @AfterEach
    void stop() {
        programs.forEach(Program::close);
    }

    private static int freePort() throws IOException {
        try (ServerSocket free = new ServerSocket(0)) {
            return free.getLocalPort();
        }
    }

    private Program start(String name, int listen, String operator) throws IOException {
        Program program = Program.serve(
                Program.config(listen, 9, "", true)
                        .replace("\"name\":\"n1\"", "\"name\":\"" + name + "\"")
                        .replace("\"balancers\":1", "\"balancers\":2"),
                operator);
        programs.add(program);
        return program;
    }

    private static String membership(String listen, int seed) {
        return "{\"membership\":{\"fleet\":\"test\",\"listen\":\"" + listen + "\",\"seeds\":[\"127.0.0.1:" + seed
                + "\"]}}";
    }

    private static void awaitReady(Program program) {
        program.port(0);
        Program.await(
                () -> {
                    try {
                        return program.call("readyz\n").startsWith("ok");
                    } catch (IOException e) {
                        return false;
                    }
                },
                "the process to be ready: " + program.printed);
    }

    /** Starts an upgrade of one of two members, and returns the other member, the predecessor and the successor. */
    private List<Program> startUpgrade() throws IOException {
        int seed = freePort();
        int fleetPort = freePort();
        int listen = freePort();
        Program other = start("n2", freePort(), membership("127.0.0.1:" + seed, seed));
        Program predecessor = start("n1", listen, membership("127.0.0.1:" + fleetPort, seed));
        other.awaitFigure("members_alive=2");
        awaitReady(predecessor);
        Program successor = start("n1", listen, membership("127.0.0.1:" + fleetPort, seed));
        awaitReady(successor);
        assertEquals(
                1, successor.lines("membership: a predecessor is the member").size());
        assertEquals("fail\n", successor.call("members\n"));
        return List.of(other, predecessor, successor);
    }

    private static void assertOneMemberOfEachName(Program other, Program successor) throws IOException {
        successor.awaitFigure("members_alive=2");
        other.awaitFigure("members_alive=2");
        other.awaitFigure("members_left=0");
        other.awaitFigure("members_dead=0");
        other.awaitFigure("member_namesakes=0");
        successor.awaitFigure("member_namesakes=0");
        assertTrue(successor.call("members\n").contains("member n1 alive "), successor.printed.toString());
    }

    @Test
    void successorJoinsTheFleetWhenThePredecessorHasLeft() throws Exception {
        List<Program> upgrade = startUpgrade();
        upgrade.get(1).terminate();
        assertEquals(0, upgrade.get(1).exit());
        assertOneMemberOfEachName(upgrade.get(0), upgrade.get(2));
    }

    @Test
    void successorJoinsTheFleetWhenThePredecessorIsKilled() throws Exception {
        List<Program> upgrade = startUpgrade();
        upgrade.get(1).close();
        assertOneMemberOfEachName(upgrade.get(0), upgrade.get(2));
    }

    @Test
    void predecessorStaysTheMemberIfTheUpgradeIsGivenUp() throws Exception {
        List<Program> upgrade = startUpgrade();
        upgrade.get(2).terminate();
        assertEquals(0, upgrade.get(2).exit());
        assertOneMemberOfEachName(upgrade.get(0), upgrade.get(1));
    }

    /** Beside a predecessor too, such an address is an error of the configuration. */
    @Test
    void addressOfAnotherMachineEndsTheStartBesideAPredecessor() throws Exception {
        int listen = freePort();
        awaitReady(start("n1", listen, "{}"));
        Program other = start("n1", listen, membership("192.0.2.1:7946", 7946));
        assertEquals(2, other.exit());
        assertEquals(1, other.lines("mintstair: membership: 192.0.2.1:7946").size(), other.printed.toString());
    }

    @Test
    void addressInUseWithoutAPredecessorEndsTheStart() throws Exception {
        int fleetPort = freePort();
        awaitReady(start("n1", freePort(), membership("127.0.0.1:" + fleetPort, fleetPort)));
        Program other = start("n2", freePort(), membership("127.0.0.1:" + fleetPort, fleetPort));
        assertEquals(2, other.exit());
    }
}
