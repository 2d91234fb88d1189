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
import java.util.function.Consumer;
import mintstair.config.ConfigException;
import mintstair.config.MembershipConfig;
import mintstair.config.NodeConfig;
import mintstair.membership.swim.MemberState;
import mintstair.membership.swim.MembershipView;
import mintstair.program.Program;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Members on the loopback interface. */
class FleetMemberTest {
    private static final long PERIOD_MICROS = 100_000;

    private final List<FleetMember> members = new ArrayList<>();

    private FleetMember startMember(String fleet, String name, List<String> seeds) throws IOException {
        MembershipConfig config = new MembershipConfig(fleet, anyPort(), null, seeds, PERIOD_MICROS);
        return start(create(config, name, 3, view -> {}));
    }

    private FleetMember create(
            MembershipConfig config, String name, int configuredSize, Consumer<MembershipView> viewListener)
            throws IOException {
        return new FleetMember(config, name, configuredSize, members.size(), viewListener, line -> {});
    }

    private FleetMember start(FleetMember member) {
        members.add(member);
        member.start();
        return member;
    }

    private static InetSocketAddress anyPort() throws IOException {
        return new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0);
    }

    private static String address(FleetMember member) {
        return member.view().self().address();
    }

    private static long count(FleetMember member, MemberState state) {
        return member.view().peers().stream()
                .filter(peer -> peer.update().state() == state)
                .count();
    }

    @AfterEach
    void closeMembers() {
        members.forEach(FleetMember::close);
    }

    /** Both are counted: members of another fleet that use the same seeds, and random bytes. */
    @Test
    void ignoresDatagramsThatAreNotOfItsFleet() throws IOException {
        FleetMember first = startMember("one", "a", List.of());
        FleetMember second = startMember("one", "b", List.of(address(first)));
        FleetMember stranger = startMember("two", "c", List.of(address(first), address(second)));
        Program.await(
                () -> count(first, MemberState.ALIVE) == 1 && count(second, MemberState.ALIVE) == 1,
                "both to know each other");
        Program.await(() -> first.garbledMessages() > 0 && second.garbledMessages() > 0, "the stranger to be rejected");

        sendRandomBytes(NodeConfig.parseAddress(address(first)));

        long received = second.statistics().receivedMessages();
        Program.await(() -> second.statistics().receivedMessages() > received + 10, "the protocol to go on");
        assertEquals(1, first.view().peers().size());
        assertEquals(0, stranger.view().peers().size());
    }

    private static void sendRandomBytes(InetSocketAddress receiver) throws IOException {
        Random random = new Random(1);
        try (DatagramSocket socket = new DatagramSocket()) {
            for (int i = 0; i < 500; i++) {
                byte[] bytes = new byte[random.nextInt(2_000)];
                random.nextBytes(bytes);
                socket.send(new DatagramPacket(bytes, bytes.length, receiver));
            }
        }
    }

    @Test
    void closedMemberIsSeenAsLeft() throws IOException {
        FleetMember first = startMember("one", "a", List.of());
        FleetMember second = startMember("one", "b", List.of(address(first)));
        Program.await(() -> count(first, MemberState.ALIVE) == 1, "the second to join");

        second.close();

        Program.await(() -> count(first, MemberState.LEFT) == 1, "the second to have left");
        assertTrue(first.report().contains("member b left "), first.report());
    }

    @Test
    void publishesViewsWhenTheyChangeAndNotInEachIteration() throws IOException {
        AtomicInteger published = new AtomicInteger();
        MembershipConfig config = new MembershipConfig("one", anyPort(), null, List.of(), 50_000);
        FleetMember first = start(create(config, "a", 2, view -> published.incrementAndGet()));
        FleetMember second = startMember("one", "b", List.of(address(first)));

        Program.await(() -> second.statistics().sentMessages() > 60, "some periods to pass");

        assertTrue(published.get() >= 2 && published.get() < 12, "published " + published.get() + " times");
    }

    /** A port that is free for datagrams may be in use for connections; with port 0 another one is tried. */
    @Test
    void triesAnotherPortWhereOneIsInUseForConnections() throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        try {
            // One in seven of the ports that the system hands out: of forty members some meet one at first.
            for (int port = 32_768; port < 60_768; port += 7) {
                try {
                    sockets.add(new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1")));
                } catch (IOException e) {
                    // In use already, which serves as well.
                }
            }
            for (int i = 0; i < 40; i++) {
                startMember("one", "a" + i, List.of());
            }
        } finally {
            for (ServerSocket socket : sockets) {
                socket.close();
            }
        }
    }

    @Test
    void rejectsANameThatIsTooLong() {
        assertThrows(ConfigException.class, () -> startMember("one", "n".repeat(49), List.of()));
    }

    @Test
    void failsOnAnAddressInUseWithTheAddressInTheMessage() throws IOException {
        InetSocketAddress inUse = NodeConfig.parseAddress(address(startMember("one", "a", List.of())));
        MembershipConfig config = new MembershipConfig("one", inUse, null, List.of(), PERIOD_MICROS);

        IOException failure = assertThrows(IOException.class, () -> create(config, "b", 3, view -> {}));

        assertTrue(failure.getMessage().startsWith("membership: 127.0.0.1:" + inUse.getPort()), failure.getMessage());
    }
}
