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

/** Runs members on the loopback interface. */
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

    /** Covers messages from a member of another fleet with the same seeds, and random bytes. */
    @Test
    void ignoresDatagramsFromAnotherFleetAndRandomBytes() throws IOException {
        FleetMember first = startMember("one", "a", List.of());
        FleetMember second = startMember("one", "b", List.of(address(first)));
        FleetMember otherFleet = startMember("two", "c", List.of(address(first), address(second)));
        Program.await(
                () -> count(first, MemberState.ALIVE) == 1 && count(second, MemberState.ALIVE) == 1,
                "each of the two members to see the other alive");
        Program.await(
                () -> first.malformedMessages() > 0 && second.malformedMessages() > 0,
                "datagrams of the other fleet to be counted as malformed");

        sendRandomBytes(NodeConfig.parseAddress(address(first)));

        long received = second.statistics().receivedMessages();
        Program.await(
                () -> second.statistics().receivedMessages() > received + 10, "the second to receive more messages");
        assertEquals(1, first.view().peers().size());
        assertEquals(0, otherFleet.view().peers().size());
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
    void closedMemberIsReportedAsLeft() throws IOException {
        FleetMember first = startMember("one", "a", List.of());
        FleetMember second = startMember("one", "b", List.of(address(first)));
        Program.await(() -> count(first, MemberState.ALIVE) == 1, "the first member to see the second alive");

        second.close();

        Program.await(() -> count(first, MemberState.LEFT) == 1, "the first member to see that the second has left");
        assertTrue(first.report().contains("member b left "), first.report());
    }

    @Test
    void publishesAViewOnlyWhenItHasChanged() throws IOException {
        AtomicInteger published = new AtomicInteger();
        MembershipConfig config = new MembershipConfig("one", anyPort(), null, List.of(), 50_000);
        FleetMember first = start(create(config, "a", 2, view -> published.incrementAndGet()));
        FleetMember second = startMember("one", "b", List.of(address(first)));

        Program.await(() -> second.statistics().sentMessages() > 60, "the second member to send 60 messages");

        assertTrue(published.get() >= 2 && published.get() < 12, "published " + published.get() + " times");
    }

    /** A port that is free for UDP may be in use for TCP; with port 0, another port must be tried then. */
    @Test
    void triesAnotherPortIfTheFirstIsInUseForTcp() throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        try {
            // Occupies one in seven ephemeral ports for TCP, so that some of 40 members first get an occupied port.
            for (int port = 32_768; port < 60_768; port += 7) {
                try {
                    sockets.add(new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1")));
                } catch (IOException e) {
                    // The port is in use already, which has the same effect.
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
    void rejectsNameThatIsTooLong() {
        assertThrows(ConfigException.class, () -> startMember("one", "n".repeat(49), List.of()));
    }

    @Test
    void failsWithTheAddressInTheMessageIfItIsInUse() throws IOException {
        InetSocketAddress inUse = NodeConfig.parseAddress(address(startMember("one", "a", List.of())));
        MembershipConfig config = new MembershipConfig("one", inUse, null, List.of(), PERIOD_MICROS);

        IOException failure = assertThrows(IOException.class, () -> create(config, "b", 3, view -> {}));

        assertTrue(failure.getMessage().startsWith("membership: 127.0.0.1:" + inUse.getPort()), failure.getMessage());
    }
}
