package mintstair.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import mintstair.config.ConfigException;
import mintstair.config.MembershipConfig;
import mintstair.config.NodeConfig;
import mintstair.membership.swim.MemberState;
import mintstair.program.Program;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Members on the network of this machine. */
class FleetMemberTest {
    private final List<FleetMember> members = new ArrayList<>();

    private FleetMember member(String fleet, String name, List<String> seeds) throws IOException {
        InetSocketAddress free = new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0);
        FleetMember member = new FleetMember(
                new MembershipConfig(fleet, free, null, seeds, 100_000),
                name,
                3,
                members.size(),
                view -> {},
                line -> {});
        members.add(member);
        member.start();
        return member;
    }

    private static String address(FleetMember member) {
        return member.view().self().address();
    }

    private static long count(FleetMember member, MemberState state) {
        return member.view().members().stream()
                .filter(m -> m.known().state() == state)
                .count();
    }

    @AfterEach
    void stop() {
        members.forEach(FleetMember::close);
    }

    /** Garbage, and members of another fleet that use the same seeds, are counted and change nothing. */
    @Test
    void whatIsNotOfThisFleetIsNotTakenIn() throws IOException {
        FleetMember a = member("one", "a", List.of());
        FleetMember b = member("one", "b", List.of(address(a)));
        FleetMember stranger = member("two", "c", List.of(address(a), address(b)));
        Program.await(
                () -> count(a, MemberState.ALIVE) == 1 && count(b, MemberState.ALIVE) == 1, "both to know each other");
        Program.await(() -> a.garbled() > 0 && b.garbled() > 0, "the stranger to be turned away");
        Random random = new Random(1);
        InetSocketAddress to = NodeConfig.address(address(a));
        try (DatagramSocket socket = new DatagramSocket()) {
            for (int i = 0; i < 500; i++) {
                byte[] bytes = new byte[random.nextInt(2_000)];
                random.nextBytes(bytes);
                socket.send(new DatagramPacket(bytes, bytes.length, to));
            }
        }
        long heard = b.tally().heard();
        Program.await(() -> b.tally().heard() > heard + 10, "them to go on");
        assertEquals(1, a.view().members().size());
        assertEquals(0, stranger.view().members().size());
    }

    @Test
    void whoEndsHasLeft() throws IOException {
        FleetMember a = member("one", "a", List.of());
        FleetMember b = member("one", "b", List.of(address(a)));
        Program.await(() -> count(a, MemberState.ALIVE) == 1, "the second to come");
        b.close();
        Program.await(() -> count(a, MemberState.LEFT) == 1, "it to have left");
        assertTrue(a.lines().contains("member b left "), a.lines());
    }

    /** Views are told as they change, not with each turn of the thread. */
    @Test
    void viewsAreToldWhenTheyChange() throws IOException {
        AtomicInteger told = new AtomicInteger();
        InetSocketAddress free = new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0);
        FleetMember a = new FleetMember(
                new MembershipConfig("one", free, null, List.of(), 50_000),
                "a",
                2,
                1,
                view -> told.incrementAndGet(),
                line -> {});
        members.add(a);
        a.start();
        FleetMember b = member("one", "b", List.of(address(a)));
        Program.await(() -> b.tally().sent() > 60, "some periods to pass");
        assertTrue(told.get() >= 2 && told.get() < 12, "told " + told.get() + " times");
    }

    /** A port that is free for datagrams may be taken for connections: any port will do, so another is tried. */
    @Test
    void aPortThatIsTakenForConnectionsIsNotUsed() throws IOException {
        List<ServerSocket> taken = new ArrayList<>();
        try {
            // One in seven of the ports that the system gives out: of forty members some meet one at first.
            for (int port = 32_768; port < 60_768; port += 7) {
                try {
                    taken.add(new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1")));
                } catch (IOException e) {
                    // Somebody has it already.
                }
            }
            for (int i = 0; i < 40; i++) {
                member("one", "a" + i, List.of());
            }
        } finally {
            for (ServerSocket socket : taken) {
                socket.close();
            }
        }
    }

    @Test
    void whatCannotBeUsedIsRefused() throws IOException {
        assertThrows(ConfigException.class, () -> member("one", "n".repeat(49), List.of()));
        FleetMember a = member("one", "a", List.of());
        InetSocketAddress taken = NodeConfig.address(address(a));
        IOException e = assertThrows(
                IOException.class,
                () -> new FleetMember(
                        new MembershipConfig("one", taken, null, List.of(), 100_000),
                        "b",
                        3,
                        1,
                        view -> {},
                        line -> {}));
        assertTrue(e.getMessage().startsWith("membership: 127.0.0.1:" + taken.getPort()), e.getMessage());
    }
}
