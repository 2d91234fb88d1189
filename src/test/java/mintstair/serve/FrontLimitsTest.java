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

/** Tests the limits of a front: the number of clients, the queued bytes and commands, and malformed messages. */
class FrontLimitsTest extends ServiceFixture {
    /** Serves one unreachable replica and no primary, so that writes wait until their deadline. */
    @BeforeEach
    void start() throws IOException {
        listen(2);
    }

    private int listen(int maxClients) throws IOException {
        return serve(TestSettings.defaults(), 10, maxClients, host("r", 9, false));
    }

    @Test
    void clientBeyondTheLimitIsRejectedAndTheOthersStayConnected() throws IOException {
        try (Client.Pg first = new Client.Pg(port());
                Client.Pg second = new Client.Pg(port())) {
            first.send(true, "id=one,c=write,cluster=1", 3000);
            second.send(true, "id=two,c=write,cluster=1", 3000);
            // A client whose request has not been read counts as idle, and would be evicted in favor of the third one.
            awaitMetric("in_flight", 2);
            try (Client.Pg third = new Client.Pg(port(), true)) {
                assertEquals("refused 0", third.answer());
            }
            assertTrue(first.answer().startsWith("refused "));
            assertTrue(second.answer().startsWith("refused "));
            second.raw(Client.Pg.query(""));
            assertEquals("empty", second.answer());
            first.raw(Client.Pg.query(""));
            assertEquals("empty", first.answer());
        }
    }

    /** Guards against whole commands that are dropped with one error because many bytes were sent at once. */
    @Test
    void clientThatPipelinesManyBytesIsAnsweredInFull() throws IOException {
        try (Client.Pg client = new Client.Pg(port())) {
            byte[] query = Client.Pg.query("x".repeat(100_000));
            client.send(true, "id=held,c=write,cluster=1", 1000);
            try (Client.Pg other = new Client.Pg(port())) {
                awaitFirstRequest(other);
            }
            for (int i = 0; i < 60; i++) {
                client.raw(query);
            }
            assertTrue(client.answer().startsWith("refused "), "the accepted request is answered first");
            for (int i = 0; i < 60; i++) {
                client.code = "";
                assertEquals("failed", client.answer());
                assertEquals("08P01", client.code, "each is answered for itself");
            }
            client.raw(Client.Pg.query(""));
            assertEquals("empty", client.answer());
        }
        assertServes();
    }

    private void assertServes() throws IOException {
        try (Client.Pg next = new Client.Pg(port())) {
            next.raw(Client.Pg.query(""));
            assertEquals("empty", next.answer());
        }
    }

    /** Guards against clients that send one request, stay connected, and keep others from connecting. */
    @Test
    void longestIdleClientIsEvictedForANewClientWithARequest() throws IOException {
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
                    // Rejected before its request was read.
                }
            }
            assertEquals("empty", answer);
            assertEquals(-1, first.in.read(), "the first client has been idle for longest");
            second.raw(Client.Pg.query(""));
            assertEquals("empty", second.answer());
        }
    }

    /**
     * Guards against clients that connect and send no request: they are evicted before a client that had a request,
     * even if that has been idle for longer.
     */
    @Test
    void clientWithoutARequestIsEvictedFirst() throws IOException {
        try (Client.Pg active = new Client.Pg(port());
                Client.Pg fresh = new Client.Pg(port())) {
            assertTrue(active.ask(true, "id=a,c=write,cluster=1", 200).startsWith("refused "));
            fresh.raw(Client.Pg.query(""));
            assertEquals("empty", fresh.answer(), "the client that was active last");
            awaitEviction(fresh);
            active.raw(Client.Pg.query(""));
            assertEquals("empty", active.answer());
        }
    }

    private void awaitEviction(Client.Pg client) throws IOException {
        awaitEviction(client, port());
    }

    /** Connects further clients until this client is evicted. */
    private static void awaitEviction(Client.Pg client, int port) throws IOException {
        long end = System.nanoTime() + 20_000_000_000L;
        client.socket.setSoTimeout(25);
        int read = 0;
        while (read != -1 && System.nanoTime() < end) {
            try (Client.Pg next = new Client.Pg(port, true)) {
                next.raw(Client.Pg.startup());
                read = client.in.read();
            } catch (SocketTimeoutException e) {
                // The client has not been evicted yet.
            } catch (IOException e) {
                // The new client was rejected before its request was read.
            }
        }
        assertEquals(-1, read);
    }

    /**
     * Guards against new clients being rejected because others keep idle connections: idle clients are evicted before
     * the limit is reached.
     */
    @Test
    void longestIdleClientIsEvictedBeforeTheLimitIsReached() throws IOException {
        int port = listen(20);
        List<Client.Pg> clients = new ArrayList<>();
        try (Client.Pg first = new Client.Pg(port)) {
            for (int i = 0; i < 8; i++) {
                clients.add(new Client.Pg(port));
            }
            awaitEviction(first, port);
        } finally {
            for (Client.Pg client : clients) {
                client.close();
            }
        }
    }

    /** Guards against floods of connections that send nothing: they are evicted first, and time out. */
    @Test
    void connectionsWithoutAStartupMessageAreEvictedOrTimeOut() throws IOException {
        try (Client.Pg first = new Client.Pg(port(), true);
                Client.Pg second = new Client.Pg(port(), true)) {
            assertServes();
            assertEquals("refused 0", first.answer());
            assertEquals("failed", second.answer());
            assertEquals(-1, second.in.read());
        }
    }

    /** Sends an incomplete message, invalid lengths and an unknown message type. */
    @Test
    void malformedMessageIsAnsweredWithAnErrorAndAClose() throws IOException {
        byte[] complete = Client.Pg.query("SELECT");
        for (byte[] message : new byte[][] {
            Arrays.copyOf(complete, complete.length - 1),
            {'Q', -1, -1, -1, -1},
            {'Q', 0x7f, -1, -1, -1},
            {'@', 0, 0, 0, 4},
            {'Q', 0, 0, 0, 3}
        }) {
            try (Client.Pg client = new Client.Pg(port())) {
                client.raw(message);
                assertEquals("failed", client.answer(), Arrays.toString(message));
                // The close must follow the error without a timeout, as each connection holds a descriptor.
                client.socket.setSoTimeout(1_500);
                assertEquals(-1, client.in.read());
            }
        }
        assertServes();
    }

    /** Guards against whole commands that are dropped with one error because many of them were sent at once. */
    @Test
    void manyPipelinedCommandsAreEachAnsweredInOrder() throws IOException {
        try (Client.Pg client = new Client.Pg(port())) {
            // The proxy accepts no command before the response to the start-up message has been written.
            client.send(true, "id=first,c=write,cluster=1", 1000);
            try (Client.Pg other = new Client.Pg(port())) {
                awaitFirstRequest(other);
            }
            ByteArrayOutputStream commands = new ByteArrayOutputStream();
            for (int i = 0; i < 300; i++) {
                commands.writeBytes(Client.Pg.query(Client.Pg.words(true, "id=w" + i + ",c=write,cluster=1", 10)));
            }
            commands.writeBytes(Client.Pg.query(""));
            client.raw(commands.toByteArray());
            for (int i = 0; i <= 300; i++) {
                assertTrue(client.answer().startsWith("refused "), "command " + i);
            }
            assertEquals("empty", client.answer());
        }
        assertServes();
    }

    /** Waits until the front has accepted its first request. */
    private static void awaitFirstRequest(Client.Pg other) throws IOException {
        do {
            other.raw(Client.Pg.query("SHOW counters"));
        } while (!other.answer().contains("taken=1 "));
    }

    /** Guards against responses that are sent to the wrong client. */
    @Test
    void idOfAnInFlightRequestIsRejectedFromAnotherClient() throws IOException {
        try (Client.Pg owner = new Client.Pg(port());
                Client.Pg other = new Client.Pg(port())) {
            owner.send(true, "id=mine,c=write,cluster=1", 1000);
            awaitFirstRequest(other);
            String answer = other.ask(true, "id=mine,c=write,cluster=1", 1000);
            assertEquals("failed", answer);
            assertEquals("08P01", other.code);
            assertTrue(owner.answer().startsWith("refused "));
        }
    }
}
