package mintstair.serve;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import mintstair.backend.pg.PgProtocol;
import mintstair.config.InstanceSettings;
import mintstair.config.Json;
import mintstair.front.Front;
import mintstair.front.pg.PgFront;
import mintstair.program.Program;
import mintstair.proxy.EventLoop;
import mintstair.request.EndpointList;
import mintstair.standin.Client;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What a front does when clients ask for more than there is room for. */
class LimitsTest {
    private final EventLoop loop = new EventLoop();
    private final TCPNIOTransport transport = Proxy.transport();
    private int port;

    @BeforeEach
    void start() throws IOException {
        transport.start();
        port = listen(2);
    }

    private int listen(int mostClients) throws IOException {
        EndpointList.Entry replica =
                new EndpointList.Entry("r", "127.0.0.1:9", "z", 1, EndpointList.State.SERVING, false, 1, 0);
        ProtocolService service = new ProtocolService(
                loop,
                transport,
                new PgProtocol(),
                1,
                env(),
                10,
                (dispatcher, counters) -> new PgFront(loop, dispatcher, transport, counters, mostClients));
        service.begin(null, new EndpointList(1, true, List.of(replica)), false);
        return service.open(new InetSocketAddress("127.0.0.1", 0), null);
    }

    @AfterEach
    void stop() throws IOException {
        loop.close();
        transport.shutdownNow();
    }

    @Test
    void oneClientTooManyIsToldSoAndTheOthersStay() throws IOException {
        try (Client.Pg first = new Client.Pg(port);
                Client.Pg second = new Client.Pg(port)) {
            // No primary is known, so that these wait.
            first.send(true, "id=one,c=write,cluster=1", 3000);
            second.send(true, "id=two,c=write,cluster=1", 3000);
            String third = "nothing";
            while (!third.equals("refused 0")) {
                try (Client.Pg client = new Client.Pg(port, true)) {
                    client.socket.setSoTimeout(100);
                    third = client.answer();
                } catch (SocketTimeoutException e) {
                    // The requests of the first two are still on their way in.
                }
            }
            assertTrue(first.answer().startsWith("refused "));
            assertTrue(second.answer().startsWith("refused "));
            second.raw(Client.Pg.query(""));
            assertEquals("empty", second.answer());
            first.raw(Client.Pg.query(""));
            assertEquals("empty", first.answer());
        }
    }

    /** Guards the small heap: a client that goes on sending while its first command waits is cut off. */
    @Test
    void clientThatSendsAheadWithoutEndIsCutOff() throws IOException {
        boolean cutOff;
        try (Client.Pg client = new Client.Pg(port)) {
            byte[] query = Client.Pg.query("x".repeat(100_000));
            // No primary is known, so that this write waits for its deadline.
            client.send(true, "id=held,c=write,cluster=1", 1000);
            try (Client.Pg other = new Client.Pg(port)) {
                awaitTaken(other);
            }
            for (int i = 0; i < 60; i++) {
                client.raw(query);
            }
            assertTrue(client.answer().startsWith("refused "), "what was taken is still answered");
            client.answer();
            cutOff = client.code.equals("08P01");
        } catch (IOException e) {
            cutOff = true;
        }
        assertTrue(cutOff);
        try (Client.Pg next = new Client.Pg(port)) {
            next.raw(Client.Pg.query(""));
            assertEquals("empty", next.answer());
        }
    }

    /** Guards against clients that are turned away though descriptors are free, and against more than there are. */
    @Test
    void descriptorsAreSharedOutInFull() {
        for (int sockets : new int[] {256, 384, 1024}) {
            DescriptorBudget share = DescriptorBudget.of(sockets, 1, false, 3);
            int all = share.clients() + Front.slack(share.clients()) + share.hosts() + DescriptorBudget.OWN;
            assertTrue(all <= sockets && all > sockets * 9 / 10 && share.clients() > sockets / 2, share.toString());
        }
    }

    /** An old process that is full and a new one, with its hosts and half of its clients less the old one's idle, fit one limit. */
    @Test
    void successorFindsRoomBesideAFullProcess() {
        for (int sockets : new int[] {256, 384, 1024}) {
            DescriptorBudget share = DescriptorBudget.of(sockets, 1, true, 3);
            int full = share.clients() + Front.slack(share.clients()) + share.hosts() + DescriptorBudget.OWN;
            assertTrue(full + share.hosts() + DescriptorBudget.OWN <= sockets, share.toString());
            assertTrue(share.clients() >= sockets / 4, share.toString());
        }
        // Nor do many hosts, known from a list of any length, take what clients need.
        for (int sockets : new int[] {128, 256, 384, 1024}) {
            for (int known : new int[] {0, 12, 60, 500}) {
                DescriptorBudget share = DescriptorBudget.of(sockets, 1, true, known);
                int full = share.clients() + Front.slack(share.clients()) + share.hosts() + DescriptorBudget.OWN;
                assertTrue(
                        sockets < 256 || full + share.hosts() + DescriptorBudget.OWN <= sockets,
                        share + " of " + sockets);
                assertTrue(share.hosts() <= Math.max(16, sockets / 3), share.toString());
                assertTrue(sockets < 256 || share.clients() >= sockets / 8, share.toString());
            }
        }
    }

    /** Guards against a start that waits for its time to run out: in memory nothing has to be waited for. */
    @Test
    void rehearsalComesThroughAndReachesNoHost() throws IOException {
        assertTrue(WarmUp.requests(2) > 2 * WarmUp.requests(14) && WarmUp.requests(1000) == WarmUp.requests(100));
        assertTrue(WarmUp.run(env(), new InetSocketAddress("127.0.0.1", port), 30_000));
        try (Client.Pg client = new Client.Pg(port)) {
            client.raw(Client.Pg.query("SHOW counters"));
            assertTrue(client.answer().contains("taken=0 served=0 "));
        }
    }

    private static InstanceSettings env() throws IOException {
        return new InstanceSettings((Map<?, ?>)
                Json.read(Program.SETTINGS.replace("PROBING", "false").getBytes()));
    }

    private void assertServes() throws IOException {
        try (Client.Pg next = new Client.Pg(port)) {
            next.raw(Client.Pg.query(""));
            assertEquals("empty", next.answer());
        }
    }

    /** Guards against clients that ask once and stay for good: the longest idle makes room for one that asks. */
    @Test
    void longestIdleClientMakesRoom() throws IOException {
        try (Client.Pg first = new Client.Pg(port);
                Client.Pg second = new Client.Pg(port)) {
            long end = System.nanoTime() + 20_000_000_000L;
            String answer = "none";
            while (!answer.equals("empty") && System.nanoTime() < end) {
                try (Client.Pg next = new Client.Pg(port, true)) {
                    next.raw(Client.Pg.startup());
                    next.raw(Client.Pg.query(""));
                    answer = next.answer();
                    answer = answer.equals("nothing") ? next.answer() : answer;
                } catch (IOException e) {
                    // Turned away while its words were on the way.
                }
            }
            assertEquals("empty", answer);
            assertEquals(-1, first.in.read(), "the first has been idle for longest");
            second.raw(Client.Pg.query(""));
            assertEquals("empty", second.answer());
        }
    }

    /** Guards against those who come and ask nothing: one who asked and kept its connection stays in their place. */
    @Test
    void thoseWhoHaveNotAskedMakeRoomFirst() throws IOException {
        try (Client.Pg asked = new Client.Pg(port);
                Client.Pg fresh = new Client.Pg(port)) {
            assertTrue(asked.ask(true, "id=a,c=write,cluster=1", 200).startsWith("refused "));
            fresh.raw(Client.Pg.query(""));
            assertEquals("empty", fresh.answer(), "the one that was heard last");
            awaitEnd(fresh);
            asked.raw(Client.Pg.query(""));
            assertEquals("empty", asked.answer());
        }
    }

    private void awaitEnd(Client.Pg client) throws IOException {
        awaitEnd(client, port);
    }

    /** Has others come until this client is let go. */
    private static void awaitEnd(Client.Pg client, int port) throws IOException {
        long end = System.nanoTime() + 20_000_000_000L;
        client.socket.setSoTimeout(25);
        int heard = 0;
        while (heard != -1 && System.nanoTime() < end) {
            try (Client.Pg next = new Client.Pg(port, true)) {
                next.raw(Client.Pg.startup());
                heard = client.in.read();
            } catch (SocketTimeoutException e) {
                // Not let go yet.
            } catch (IOException e) {
                // The next was turned away while its words were on the way.
            }
        }
        assertEquals(-1, heard);
    }

    /** Guards against clients that run short of connections of their own, as they keep them: room is made before the limit. */
    @Test
    void amongManyTheLongestIdleGoesAsOthersCome() throws IOException {
        int roomy = listen(20);
        List<Client.Pg> clients = new ArrayList<>();
        try (Client.Pg first = new Client.Pg(roomy)) {
            for (int i = 0; i < 8; i++) {
                clients.add(new Client.Pg(roomy));
            }
            awaitEnd(first, roomy);
        } finally {
            for (Client.Pg client : clients) {
                client.close();
            }
        }
    }

    /** Guards against floods of connections that say nothing: they give way at once, and end by themselves. */
    @Test
    void silentConnectionsGiveWayAndEndByADeadline() throws IOException {
        try (Client.Pg first = new Client.Pg(port, true);
                Client.Pg second = new Client.Pg(port, true)) {
            assertServes();
            assertEquals("refused 0", first.answer());
            assertEquals("failed", second.answer());
            assertEquals(-1, second.in.read());
        }
    }

    /** Half a message, a length that nothing can have, a type that nobody sends, hundreds of commands: one error each. */
    @Test
    void whatCannotBeServedEndsWithOneError() throws IOException {
        byte[] half = Client.Pg.query("SELECT");
        for (byte[] words : new byte[][] {
            Arrays.copyOf(half, half.length - 1),
            {'Q', -1, -1, -1, -1},
            {'Q', 0x7f, -1, -1, -1},
            {'@', 0, 0, 0, 4},
            {'Q', 0, 0, 0, 3}
        }) {
            try (Client.Pg client = new Client.Pg(port)) {
                client.raw(words);
                assertEquals("failed", client.answer(), Arrays.toString(words));
                // The words are followed by the close, not by a wait until patience ends: each holds a descriptor.
                client.socket.setSoTimeout(1_500);
                assertEquals(-1, client.in.read());
            }
        }
        try (Client.Pg client = new Client.Pg(port)) {
            // Until the proxy has noted that the answer to the start-up is out, nothing is taken.
            client.send(true, "id=first,c=write,cluster=1", 1000);
            try (Client.Pg other = new Client.Pg(port)) {
                awaitTaken(other);
            }
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            for (int i = 0; i < 300; i++) {
                all.writeBytes(Client.Pg.query(Client.Pg.words(true, "id=w" + i + ",c=write,cluster=1", 1000)));
            }
            client.raw(all.toByteArray());
            assertTrue(client.answer().startsWith("refused "), "what was taken is still answered");
            assertEquals("failed", client.answer());
            assertEquals("08P01", client.code);
            assertEquals(-1, client.in.read());
        }
        assertServes();
    }

    /** Returns once the front has taken its first request. */
    private static void awaitTaken(Client.Pg other) throws IOException {
        do {
            other.raw(Client.Pg.query("SHOW counters"));
        } while (!other.answer().contains("taken=1 "));
    }

    /** Guards against answers that go to the wrong client: the id of an open request stays with its owner. */
    @Test
    void idOfAnOpenRequestBelongsToItsFirstOwner() throws IOException {
        try (Client.Pg owner = new Client.Pg(port);
                Client.Pg other = new Client.Pg(port)) {
            owner.send(true, "id=mine,c=write,cluster=1", 1000);
            awaitTaken(other);
            String answer = other.ask(true, "id=mine,c=write,cluster=1", 1000);
            assertEquals("failed", answer);
            assertEquals("08P01", other.code);
            assertTrue(owner.answer().startsWith("refused "));
        }
    }
}
