package mintstair.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;
import mintstair.program.Program;
import mintstair.standin.Client;
import mintstair.standin.ManualHost;
import mintstair.standin.StandInHost;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.ConnectionProbe;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.nio.NIOConnection;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests connections of clients and to hosts that are closed before a request or response on them is complete. */
class ConnectionEndsTest extends ServiceFixture {
    private final Set<Connection<?>> connections = ConcurrentHashMap.newKeySet();
    private final AtomicLong bytesRead = new AtomicLong();
    private ManualHost host;

    @BeforeEach
    void start() throws IOException {
        transport.getConnectionMonitoringConfig().addProbes(new ConnectionProbe.Adapter() {
            @Override
            public void onAcceptEvent(Connection server, Connection client) {
                connections.add(client);
            }

            @Override
            public void onConnectEvent(Connection connection) {
                connections.add(connection);
            }

            @Override
            public void onReadEvent(Connection connection, Buffer data, int size) {
                bytesRead.addAndGet(size);
            }
        });
        host = manualHost();
        serve(true, 1, host("p", host.port(), true));
    }

    private static byte[] write(String id) {
        return Client.Pg.query(Client.Pg.words(true, "id=" + id + ",c=write,cluster=1", 15_000));
    }

    /**
     * Guards against a close with unread bytes, which causes a reset that discards the response just written, and
     * against a protocol error that drops complete requests received before it.
     */
    @Test
    void clientThatSendsAfterAProtocolErrorGetsItsResponsesTheErrorAndAnOrderlyClose() throws Exception {
        for (int n = 0; n < 5; n++) {
            Client.Pg client = client();
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.writeBytes(write("a" + n));
            all.writeBytes(write("b" + n));
            all.writeBytes(new byte[] {'@', 0, 0, 0, 4});
            client.raw(all.toByteArray());
            if (n == 0) {
                host.accept();
                host.completeStartup(0);
            }
            assertTrue(host.readStatement(0).contains("id=a" + n + ","));
            boolean[] stop = new boolean[1];
            Thread sender = new Thread(() -> {
                try {
                    while (!stop[0]) {
                        client.raw(new byte[20]);
                    }
                } catch (IOException e) {
                    // Expected: the proxy stops reading at some point.
                }
            });
            sender.start();
            host.send(0, ManualHost.reply("a" + n));
            assertEquals("served a" + n, client.answer());
            assertTrue(host.readStatement(0).contains("id=b" + n + ","), "the request before the error");
            host.send(0, ManualHost.reply("b" + n));
            assertEquals("served b" + n, client.answer());
            assertEquals("failed", client.answer());
            assertEquals("08P01", client.code);
            assertEquals(-1, client.in.read(), "expected end of stream, not a reset");
            stop[0] = true;
            sender.join();
        }
    }

    /**
     * Guards against a close while the kernel holds unread bytes: its reset may arrive before the error message if the
     * network loses a part of that. Here bytes arrive while the network thread is suspended and the error is written,
     * and more bytes arrive after the close.
     */
    @Test
    void bytesThatArriveBeforeAndAfterTheErrorAreReadAndCauseNoReset() throws Exception {
        Client.Pg client = client();
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.writeBytes(write("held"));
        all.writeBytes(new byte[] {'@', 0, 0, 0, 4});
        client.raw(all.toByteArray());
        host.accept();
        Program.await(() -> connections.size() >= 2, "the connections to the client and the host");
        CountDownLatch networkReleased = new CountDownLatch(1);
        suspend(
                task -> ((NIOConnection) connections.iterator().next()).executeInEventThread(IOEvent.READ, task),
                networkReleased);
        long bytesBefore = bytesRead.get();
        client.raw(new byte[20]);
        loop.execute(() -> service.drainBy(loop.now(), loop.now()));
        assertEquals("failed", client.answer(), "the request that waits for its host");
        assertNotEquals("08P01", client.code);
        assertEquals('E', client.in.read(), "an ErrorResponse");
        String error = new String(client.in.readNBytes(client.in.readInt() - 4), StandardCharsets.UTF_8);
        assertTrue(error.contains("08P01"), error);
        // When this task runs, the task that wrote the error has requested the close.
        CompletableFuture.runAsync(() -> {}, loop::execute).join();
        // While the loop is suspended its time-out for unread bytes cannot expire, however slow the machine is.
        CountDownLatch loopReleased = new CountDownLatch(1);
        suspend(loop::execute, loopReleased);
        networkReleased.countDown();
        assertEquals(-1, client.in.read(), "the end of the stream");
        client.raw(new byte[20]);
        Program.await(() -> bytesRead.get() == bytesBefore + 40, "bytes sent before and after the close to be read");
        loopReleased.countDown();
    }

    /** Guards against descriptors held by clients that send without end, or stay connected, after a protocol error. */
    @Test
    void clientThatDoesNotCloseAfterAProtocolErrorIsDisconnected() throws Exception {
        Client.Pg client = client();
        client.raw(new byte[] {'@', 0, 0, 0, 4});
        StandInHost.daemon(() -> {
            try {
                while (true) {
                    client.raw(new byte[1024]);
                }
            } catch (IOException e) {
                // Expected: the proxy has closed the connection.
            }
        });
        Program.await(() -> service.front.connections() == 0, "the end of the connection that keeps sending");
        Client.Pg idle = client();
        idle.raw(new byte[] {'@', 0, 0, 0, 4});
        assertEquals("failed", idle.answer());
        Program.await(() -> service.front.connections() == 0, "the end of the idle connection");
    }

    /** Guards against small writes that Nagle's algorithm delays until the peer has acknowledged earlier ones. */
    @Test
    void tcpNoDelayIsSetOnConnectionsToClientsAndHosts() throws Exception {
        Client.Pg client = client();
        client.raw(write("one"));
        host.accept();
        host.completeStartup(0);
        host.readStatement(0);
        Program.await(() -> connections.size() >= 2, "the connections to the client and the host");
        for (Connection<?> connection : connections) {
            SocketChannel channel = (SocketChannel) ((NIOConnection) connection).getChannel();
            assertTrue(channel.getOption(StandardSocketOptions.TCP_NODELAY), connection.toString());
        }
    }

    /** A host closes the connection within a reply: the write may have been executed, so it must not be retried. */
    @Test
    void writeFailsWithoutRetryIfItsReplyIsIncomplete() throws Exception {
        byte[] answer = ManualHost.reply("half");
        for (int n = 0; n < 4; n++) {
            Client.Pg client = client();
            client.raw(write("h" + n));
            host.accept();
            host.completeStartup(n);
            assertTrue(host.readStatement(n).contains("id=h" + n + ","));
            host.send(n, Arrays.copyOf(answer, 1 + n * (answer.length / 5)));
            host.closeConnection(n, n % 2 == 1);
            assertEquals("failed", client.answer(), "after " + n + " fifths");
        }
        assertEquals(4, service.counters.attemptsSent());
    }

    /** An idle connection that its host has closed or reset is not used for the next request. */
    @Test
    void requestIsNotWrittenOnAConnectionThatItsHostHasClosed() throws Exception {
        Client.Pg client = client();
        for (int n = 0; n < 4; n++) {
            client.raw(write("i" + n));
            host.accept();
            host.completeStartup(n);
            assertTrue(host.readStatement(n).contains("id=i" + n + ","));
            host.send(n, ManualHost.reply("i" + n));
            host.closeConnection(n, n % 2 == 1);
            assertEquals("served i" + n, client.answer());
        }
        assertEquals(4, service.counters.attemptsSent());
    }

    /** The host resets a connection while no request is in flight on it; no other request may fail. */
    @Test
    void resetOfAnIdleConnectionFailsNoRequest() throws Exception {
        Client.Pg client = client();
        client.raw(write("a"));
        host.accept();
        host.completeStartup(0);
        host.readStatement(0);
        host.send(0, ManualHost.reply("a"));
        assertEquals("served a", client.answer());
        client.raw(write("b"));
        assertTrue(host.readStatement(0).contains("id=b,"), "the connection is reused");
        host.send(0, ManualHost.reply("b"));
        assertEquals("served b", client.answer());
        host.closeConnection(0, true);
        client.raw(write("c"));
        host.accept();
        host.completeStartup(1);
        assertTrue(host.readStatement(1).contains("id=c,"));
        host.send(1, ManualHost.reply("c"));
        assertEquals("served c", client.answer());
    }

    /** Guards against requests that are read while the front starts to drain, and get no response. */
    @Test
    void requestSentDuringTheDrainIsAnsweredOrNotRead() throws Exception {
        List<Client.Pg> idleClients = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            idleClients.add(client());
        }
        loop.execute(() -> service.front.stopListening());
        loop.execute(() -> service.front.drain());
        int answered = 0;
        for (int i = 0; i < 10; i++) {
            try {
                idleClients.get(i).raw(write("r" + i));
                idleClients.get(i).socket.setSoTimeout(20_000);
                if (idleClients.get(i).in.read() >= 0) {
                    answered++;
                }
            } catch (IOException e) {
                // The request was not read; a real client retries it on another proxy.
            }
        }
        assertEquals(
                answered,
                service.counters.requestsAccepted(),
                "each request that was read is answered, and no other is accepted");
    }
}
