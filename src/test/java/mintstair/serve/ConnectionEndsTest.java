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
import mintstair.standin.LateHost;
import mintstair.standin.StandInHost;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.ConnectionProbe;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.nio.NIOConnection;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Connections that end, on either side, while a response or a request on them is not complete. */
class ConnectionEndsTest extends ServiceFixture {
    private final Set<Connection<?>> connections = ConcurrentHashMap.newKeySet();
    private final AtomicLong bytesRead = new AtomicLong();
    private LateHost host;

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
        host = lateHost();
        serve(true, 1, host("p", host.port(), true));
    }

    private static byte[] write(String id) {
        return Client.Pg.query(Client.Pg.words(true, "id=" + id + ",c=write,cluster=1", 15_000));
    }

    /**
     * Guards against a close with unread bytes: its reset would discard the response that was just written. And
     * against an error that drops the requests that came whole before it.
     */
    @Test
    void clientThatGoesOnSendingGetsItsResponseTheErrorAndAnOrderlyClose() throws Exception {
        for (int n = 0; n < 5; n++) {
            Client.Pg client = client();
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.writeBytes(write("a" + n));
            all.writeBytes(write("b" + n));
            all.writeBytes(new byte[] {'@', 0, 0, 0, 4});
            client.raw(all.toByteArray());
            if (n == 0) {
                host.accept();
                host.greet(0);
            }
            assertTrue(host.statement(0).contains("id=a" + n + ","));
            boolean[] stop = new boolean[1];
            Thread sender = new Thread(() -> {
                try {
                    while (!stop[0]) {
                        client.raw(new byte[20]);
                    }
                } catch (IOException e) {
                    // The proxy does not read without end.
                }
            });
            sender.start();
            host.say(0, LateHost.answer("a" + n));
            assertEquals("served a" + n, client.answer());
            assertTrue(host.statement(0).contains("id=b" + n + ","), "what came whole before the garbage");
            host.say(0, LateHost.answer("b" + n));
            assertEquals("served b" + n, client.answer());
            assertEquals("failed", client.answer());
            assertEquals("08P01", client.code);
            assertEquals(-1, client.in.read(), "an end, no reset");
            stop[0] = true;
            sender.join();
        }
    }

    /**
     * Guards against a close with bytes unread in the system: its reset overtakes the error where a network loses a
     * part of it. Here bytes arrive while the network thread is suspended, the error is written meanwhile, and more
     * bytes arrive after the close.
     */
    @Test
    void bytesThatArriveAroundTheErrorAreReadAndNotReset() throws Exception {
        Client.Pg client = client();
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.writeBytes(write("held"));
        all.writeBytes(new byte[] {'@', 0, 0, 0, 4});
        client.raw(all.toByteArray());
        host.accept();
        Program.await(() -> connections.size() >= 2, "both sides");
        CountDownLatch network = new CountDownLatch(1);
        suspend(
                task -> ((NIOConnection) connections.iterator().next()).executeInEventThread(IOEvent.READ, task),
                network);
        long before = bytesRead.get();
        client.raw(new byte[20]);
        loop.execute(() -> service.drainBy(loop.now(), loop.now()));
        assertEquals("failed", client.answer(), "the request, which was on its way to its host");
        assertNotEquals("08P01", client.code);
        assertEquals('E', client.in.read(), "the error");
        String words = new String(client.in.readNBytes(client.in.readInt() - 4), StandardCharsets.UTF_8);
        assertTrue(words.contains("08P01"), words);
        // The task that wrote the error has requested the close by then.
        CompletableFuture.runAsync(() -> {}, loop::execute).join();
        // With the loop suspended, its time-out for unread bytes cannot pass, however slow the machine.
        CountDownLatch looping = new CountDownLatch(1);
        suspend(loop::execute, looping);
        network.countDown();
        assertEquals(-1, client.in.read(), "the end");
        client.raw(new byte[20]);
        Program.await(() -> bytesRead.get() == before + 40, "what came before the end and behind it to be read");
        looping.countDown();
    }

    /** One that never stops sending, and never closes, does not keep its descriptor. */
    @Test
    void clientThatNeverStopsSendingIsClosedAllTheSame() throws Exception {
        Client.Pg client = client();
        client.raw(new byte[] {'@', 0, 0, 0, 4});
        StandInHost.daemon(() -> {
            try {
                while (true) {
                    client.raw(new byte[1024]);
                }
            } catch (IOException e) {
                // It was closed.
            }
        });
        Program.await(() -> service.front.connections() == 0, "its end");
        Client.Pg idle = client();
        idle.raw(new byte[] {'@', 0, 0, 0, 4});
        assertEquals("failed", idle.answer());
        Program.await(() -> service.front.connections() == 0, "the close of one that sends nothing more and stays");
    }

    /** Guards against responses that the system delays until the other side has acknowledged (Nagle's algorithm). */
    @Test
    void smallWritesAreNotDelayedOnEitherSide() throws Exception {
        Client.Pg client = client();
        client.raw(write("one"));
        host.accept();
        host.greet(0);
        host.statement(0);
        Program.await(() -> connections.size() >= 2, "both sides");
        for (Connection<?> connection : connections) {
            SocketChannel channel = (SocketChannel) ((NIOConnection) connection).getChannel();
            assertTrue(channel.getOption(StandardSocketOptions.TCP_NODELAY), connection.toString());
        }
    }

    /** A host that closes in the middle of a reply: a write may have run, is failed at once and not retried. */
    @Test
    void incompleteReplyOfAHostIsNoResponse() throws Exception {
        byte[] answer = LateHost.answer("half");
        for (int n = 0; n < 4; n++) {
            Client.Pg client = client();
            client.raw(write("h" + n));
            host.accept();
            host.greet(n);
            assertTrue(host.statement(n).contains("id=h" + n + ","));
            host.say(n, Arrays.copyOf(answer, 1 + n * (answer.length / 5)));
            host.end(n, n % 2 == 1);
            assertEquals("failed", client.answer(), "after " + n + " fifths");
        }
        assertEquals(4, service.counters.attemptsSent());
    }

    /** An idle connection that its host closed, or reset, before the next request is not used for it. */
    @Test
    void requestIsNotWrittenOnAConnectionThatItsHostHasEnded() throws Exception {
        Client.Pg client = client();
        for (int n = 0; n < 4; n++) {
            client.raw(write("i" + n));
            host.accept();
            host.greet(n);
            assertTrue(host.statement(n).contains("id=i" + n + ","));
            host.say(n, LateHost.answer("i" + n));
            host.end(n, n % 2 == 1);
            assertEquals("served i" + n, client.answer());
        }
        assertEquals(4, service.counters.attemptsSent());
    }

    /** A reset long after a request has ended, with no request on the connection, fails no other request. */
    @Test
    void resetAfterTheReplyFailsNoRequest() throws Exception {
        Client.Pg client = client();
        client.raw(write("a"));
        host.accept();
        host.greet(0);
        host.statement(0);
        host.say(0, LateHost.answer("a"));
        assertEquals("served a", client.answer());
        client.raw(write("b"));
        assertTrue(host.statement(0).contains("id=b,"), "the connection is kept");
        host.say(0, LateHost.answer("b"));
        assertEquals("served b", client.answer());
        host.end(0, true);
        client.raw(write("c"));
        host.accept();
        host.greet(1);
        assertTrue(host.statement(1).contains("id=c,"));
        host.say(1, LateHost.answer("c"));
        assertEquals("served c", client.answer());
    }

    /** A request that is read at the moment in which a front drains is answered. */
    @Test
    void requestAtTheMomentOfTheDrainIsAnsweredOrLeftUnread() throws Exception {
        List<Client.Pg> resting = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            resting.add(client());
        }
        loop.execute(() -> service.front.stopListening());
        loop.execute(() -> service.front.drain());
        int answered = 0;
        for (int i = 0; i < 10; i++) {
            try {
                resting.get(i).raw(write("r" + i));
                resting.get(i).socket.setSoTimeout(20_000);
                if (resting.get(i).in.read() >= 0) {
                    answered++;
                }
            } catch (IOException e) {
                // It was not read: the client sends it again elsewhere.
            }
        }
        assertEquals(
                answered,
                service.counters.requestsAccepted(),
                "what was read has its answer, nothing else was forwarded");
    }
}
