package mintstair.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import mintstair.standin.Client;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What a front does at its limits: of clients, of bytes that wait, and of what its protocol allows. */
class FrontLimitsTest extends ServiceFixture {
    /** No host can be reached, and no primary is known, so that writes wait for their deadline. */
    @BeforeEach
    void start() throws IOException {
        listen(2);
    }

    private int listen(int maxClients) throws IOException {
        return serve(TestSettings.usual(), 10, maxClients, host("r", 9, false));
    }

    @Test
    void oneClientTooManyIsRejectedAndTheOthersStay() throws IOException {
        try (Client.Pg first = new Client.Pg(port());
                Client.Pg second = new Client.Pg(port())) {
            first.send(true, "id=one,c=write,cluster=1", 3000);
            second.send(true, "id=two,c=write,cluster=1", 3000);
            String third = "nothing";
            while (!third.equals("refused 0")) {
                try (Client.Pg client = new Client.Pg(port(), true)) {
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

    /** Guards the small heap: a client that goes on sending while its first command waits loses its connection. */
    @Test
    void clientThatPipelinesWithoutEndIsDisconnected() throws IOException {
        boolean disconnected;
        try (Client.Pg client = new Client.Pg(port())) {
            byte[] query = Client.Pg.query("x".repeat(100_000));
            client.send(true, "id=held,c=write,cluster=1", 1000);
            try (Client.Pg other = new Client.Pg(port())) {
                awaitTaken(other);
            }
            for (int i = 0; i < 60; i++) {
                client.raw(query);
            }
            assertTrue(client.answer().startsWith("refused "), "what was taken is still answered");
            client.answer();
            disconnected = client.code.equals("08P01");
        } catch (IOException e) {
            disconnected = true;
        }
        assertTrue(disconnected);
        try (Client.Pg next = new Client.Pg(port())) {
            next.raw(Client.Pg.query(""));
            assertEquals("empty", next.answer());
        }
    }

    private void assertServes() throws IOException {
        try (Client.Pg next = new Client.Pg(port())) {
            next.raw(Client.Pg.query(""));
            assertEquals("empty", next.answer());
        }
    }

    /** Guards against clients that send one request and stay connected for good. */
    @Test
    void longestIdleClientIsEvictedForOneWithARequest() throws IOException {
        try (Client.Pg first = new Client.Pg(port());
                Client.Pg second = new Client.Pg(port())) {
            long end = System.nanoTime() + 20_000_000_000L;
            String answer = "none";
            while (!answer.equals("empty") && System.nanoTime() < end) {
                try (Client.Pg next = new Client.Pg(port(), true)) {
                    next.raw(Client.Pg.startup());
                    next.raw(Client.Pg.query(""));
                    answer = next.answer();
                    answer = answer.equals("nothing") ? next.answer() : answer;
                } catch (IOException e) {
                    // Rejected while its request was on the way.
                }
            }
            assertEquals("empty", answer);
            assertEquals(-1, first.in.read(), "the first has been idle for longest");
            second.raw(Client.Pg.query(""));
            assertEquals("empty", second.answer());
        }
    }

    /**
     * Guards against clients that connect and request nothing: one that had a request and kept its connection stays.
     */
    @Test
    void clientsWithoutARequestAreEvictedFirst() throws IOException {
        try (Client.Pg asked = new Client.Pg(port());
                Client.Pg fresh = new Client.Pg(port())) {
            assertTrue(asked.ask(true, "id=a,c=write,cluster=1", 200).startsWith("refused "));
            fresh.raw(Client.Pg.query(""));
            assertEquals("empty", fresh.answer(), "the one that was active last");
            awaitEnd(fresh);
            asked.raw(Client.Pg.query(""));
            assertEquals("empty", asked.answer());
        }
    }

    private void awaitEnd(Client.Pg client) throws IOException {
        awaitEnd(client, port());
    }

    /** Connects others until this client is evicted. */
    private static void awaitEnd(Client.Pg client, int port) throws IOException {
        long end = System.nanoTime() + 20_000_000_000L;
        client.socket.setSoTimeout(25);
        int read = 0;
        while (read != -1 && System.nanoTime() < end) {
            try (Client.Pg next = new Client.Pg(port, true)) {
                next.raw(Client.Pg.startup());
                read = client.in.read();
            } catch (SocketTimeoutException e) {
                // Not evicted yet.
            } catch (IOException e) {
                // The next was rejected while its request was on the way.
            }
        }
        assertEquals(-1, read);
    }

    /**
     * Guards against clients that run short of connections, as others keep theirs: idle ones are evicted before the
     * limit.
     */
    @Test
    void longestIdleOfManyIsEvictedAsOthersConnect() throws IOException {
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

    /** Guards against floods of connections that send nothing: they are evicted at once, and time out. */
    @Test
    void connectionsWithoutAStartupAreEvictedAndTimeOut() throws IOException {
        try (Client.Pg first = new Client.Pg(port(), true);
                Client.Pg second = new Client.Pg(port(), true)) {
            assertServes();
            assertEquals("refused 0", first.answer());
            assertEquals("failed", second.answer());
            assertEquals(-1, second.in.read());
        }
    }

    /** Half a message, an impossible length, an unknown type. */
    @Test
    void malformedMessageEndsWithOneError() throws IOException {
        byte[] half = Client.Pg.query("SELECT");
        for (byte[] message : new byte[][] {
            Arrays.copyOf(half, half.length - 1),
            {'Q', -1, -1, -1, -1},
            {'Q', 0x7f, -1, -1, -1},
            {'@', 0, 0, 0, 4},
            {'Q', 0, 0, 0, 3}
        }) {
            try (Client.Pg client = new Client.Pg(port())) {
                client.raw(message);
                assertEquals("failed", client.answer(), Arrays.toString(message));
                // The error is followed by the close, not by a timeout: each connection holds a descriptor.
                client.socket.setSoTimeout(1_500);
                assertEquals(-1, client.in.read());
            }
        }
        assertServes();
    }

    @Test
    void hundredsOfPipelinedCommandsEndWithOneError() throws IOException {
        try (Client.Pg client = new Client.Pg(port())) {
            // Until the proxy knows that the response to the start-up was written, it takes no command.
            client.send(true, "id=first,c=write,cluster=1", 1000);
            try (Client.Pg other = new Client.Pg(port())) {
                awaitTaken(other);
            }
            ByteArrayOutputStream commands = new ByteArrayOutputStream();
            for (int i = 0; i < 300; i++) {
                commands.writeBytes(Client.Pg.query(Client.Pg.words(true, "id=w" + i + ",c=write,cluster=1", 1000)));
            }
            client.raw(commands.toByteArray());
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

    /** Guards against responses that go to the wrong client. */
    @Test
    void idOfAnInFlightRequestBelongsToItsFirstClient() throws IOException {
        try (Client.Pg owner = new Client.Pg(port());
                Client.Pg other = new Client.Pg(port())) {
            owner.send(true, "id=mine,c=write,cluster=1", 1000);
            awaitTaken(other);
            String answer = other.ask(true, "id=mine,c=write,cluster=1", 1000);
            assertEquals("failed", answer);
            assertEquals("08P01", other.code);
            assertTrue(owner.answer().startsWith("refused "));
        }
    }
}
