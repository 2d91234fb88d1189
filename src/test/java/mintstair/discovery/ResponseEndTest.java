package mintstair.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;
import mintstair.discovery.pace.WatchPacing;
import mintstair.program.Program;
import mintstair.proxy.EventLoop;
import mintstair.request.EndpointList;
import mintstair.standin.StandInHost;
import mintstair.stats.Counters;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests how the watch treats responses that end early, late, or not at all. The service runs on a socket and follows a
 * script with one step per connection; the last step is repeated for all further connections.
 */
class ResponseEndTest {
    private static final String LIST =
            "{\"rev\":7,\"all\":true,\"targets\":[{\"uid\":\"h1\",\"endpoint\":\"127.0.0.1:1\",\"az\":\"a\","
                    + "\"model\":\"m\",\"pod_group\":1,\"state\":\"SERVING\",\"capacity_hint\":1.0,\"boot_ms\":0}]}";
    private static final String HEAD_WITHOUT_LENGTH =
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n";
    private static final String HEAD_WITH_LENGTH = "HTTP/1.1 200 OK\r\nContent-Length: " + LIST.length() + "\r\n\r\n";

    /** What the service does on one connection after its first request. */
    private interface Step {
        void run(Socket socket, OutputStream out) throws IOException;
    }

    private static final Step NO_RESPONSE = (socket, out) -> {};

    private final EventLoop loop = new EventLoop();
    private final TCPNIOTransport transport =
            TCPNIOTransportBuilder.newInstance().setSelectorRunnersCount(1).build();
    private final List<EndpointList> lists = new CopyOnWriteArrayList<>();
    private final List<String> requests = new CopyOnWriteArrayList<>();
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private final Counters counters = new Counters();
    private ServerSocket server;

    @BeforeEach
    void start() throws IOException {
        transport.start();
        server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
    }

    @AfterEach
    void stop() throws IOException {
        loop.close();
        transport.shutdownNow();
        server.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    /** Starts a watch of the service, without a known revision. */
    private void watch(WatchPacing pacing, Step... steps) {
        StandInHost.daemon(() -> accept(steps));
        InetSocketAddress address = (InetSocketAddress) server.getLocalSocketAddress();
        EndpointWatch watch = new EndpointWatch(loop, transport, address, -1, pacing, counters, lists::add);
        loop.execute(watch::start);
    }

    private void accept(Step... steps) {
        for (int n = 0; !server.isClosed(); n++) {
            Step step = steps[Math.min(n, steps.length - 1)];
            try {
                Socket socket = server.accept();
                sockets.add(socket);
                StandInHost.daemon(() -> serve(socket, step));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket, Step step) {
        try {
            StringBuilder head = new StringBuilder();
            while (head.indexOf("\r\n\r\n") < 0) {
                int next = socket.getInputStream().read();
                if (next < 0) {
                    return;
                }
                head.append((char) next);
            }
            requests.add(head.substring(0, head.indexOf("\r\n")));
            step.run(socket, socket.getOutputStream());
        } catch (IOException e) {
            // The watch closed the connection.
        }
    }

    private static WatchPacing localAgentPacing() {
        return WatchPacing.forLocalAgent(1_000_000, new Random(1));
    }

    private static Step sends(String text) {
        return (socket, out) -> out.write(text.getBytes(StandardCharsets.UTF_8));
    }

    private static Step reset() {
        return (socket, out) -> {
            socket.setSoLinger(true, 0);
            socket.close();
        };
    }

    private static Step closeAfter(String text) {
        return (socket, out) -> {
            out.write(text.getBytes(StandardCharsets.UTF_8));
            out.flush();
            reset().run(socket, out);
        };
    }

    private void awaitList() {
        Program.await(() -> !lists.isEmpty(), "the list");
    }

    /**
     * Guards against accepting part of a list: a reset at any point before the last byte must not complete a response
     * that is delimited by the end of its connection. The snapshot is requested again.
     */
    @Test
    void resetDoesNotCompleteAResponseWithoutALength() {
        List<Step> steps = new ArrayList<>();
        for (int n = 1; n < LIST.length(); n += 9) {
            steps.add(closeAfter(HEAD_WITHOUT_LENGTH + LIST.substring(0, n)));
        }
        steps.add(sends(HEAD_WITH_LENGTH + LIST));

        watch(localAgentPacing(), steps.toArray(Step[]::new));
        awaitList();

        int deltaRequests = requests.get(requests.size() - 1).contains("index=7") ? 1 : 0;
        assertEquals(steps.size(), requests.size() - deltaRequests, "one request per connection: " + requests);
        assertEquals(
                List.of(1), lists.stream().map(list -> list.entries().size()).toList());
        assertTrue(
                requests.subList(0, steps.size()).stream().noneMatch(line -> line.contains("index")),
                requests.toString());
    }

    @Test
    void closedConnectionCompletesAResponseWithoutALength() {
        watch(localAgentPacing(), (socket, out) -> {
            out.write((HEAD_WITHOUT_LENGTH + LIST).getBytes(StandardCharsets.UTF_8));
            socket.close();
        });
        Program.await(() -> lists.size() > 1, "a second list");

        assertEquals(1, lists.get(0).entries().size());
    }

    /**
     * Covers responses that stop before the first byte, in the head, and in the body. Each is hedged after a quarter of
     * the grace period.
     */
    @Test
    void responseThatStopsIsHedgedWithinTheGracePeriod() {
        long startNanos = System.nanoTime();

        watch(
                localAgentPacing(),
                NO_RESPONSE,
                sends(HEAD_WITH_LENGTH.substring(0, 20)),
                sends(HEAD_WITH_LENGTH + LIST.substring(0, 50)),
                sends(HEAD_WITH_LENGTH + LIST));
        awaitList();

        long elapsedMillis = (System.nanoTime() - startNanos) / 1_000_000;
        assertTrue(elapsedMillis < 1_500, elapsedMillis + " ms");
    }

    /** After the snapshot the agent responds on no connection. The watch keeps the list and continues to poll. */
    @Test
    void agentThatNoLongerRespondsIsStillPolledFromTheKnownRevision() {
        watch(localAgentPacing(), sends(HEAD_WITH_LENGTH + LIST), NO_RESPONSE);
        Program.await(() -> requests.size() > 8, "further calls");

        assertEquals(1, lists.size());
        assertTrue(
                requests.get(requests.size() - 1).contains("index=7&wait=1"),
                "the last poll is from the known revision");
    }

    /** Guards the heap of a small process against a response that never ends. */
    @Test
    void endlessResponseIsAborted() {
        AtomicLong writtenBytes = new AtomicLong();
        Step endless = (socket, out) -> {
            byte[] blanks = " ".repeat(64 * 1024).getBytes(StandardCharsets.UTF_8);
            out.write(HEAD_WITHOUT_LENGTH.getBytes(StandardCharsets.UTF_8));
            while (true) {
                out.write(blanks);
                writtenBytes.addAndGet(blanks.length);
            }
        };

        watch(WatchPacing.forSharedService(3, 12, new Random(1)), endless, sends(HEAD_WITH_LENGTH + LIST));
        awaitList();

        assertTrue(writtenBytes.get() < 16L * 1024 * 1024, writtenBytes + " bytes");
    }

    /** The service resets two connections and rejects a call. The list must arrive within 6 s of the last failure. */
    @Test
    void failedCallsToASharedServiceAreRetriedWithinTheNotificationDeadline() {
        AtomicLong lastFailureNanos = new AtomicLong();
        Step resetting = (socket, out) -> {
            lastFailureNanos.set(System.nanoTime());
            reset().run(socket, out);
        };
        Step rejectingOnce = (socket, out) -> {
            lastFailureNanos.set(System.nanoTime());
            sends("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n").run(socket, out);
            // The retry is sent on the same connection.
            while (socket.getInputStream().read() != '\n') {}
            sends(HEAD_WITH_LENGTH + LIST).run(socket, out);
        };

        watch(WatchPacing.forSharedService(120, 120, new Random(1)), resetting, resetting, rejectingOnce);
        awaitList();

        long elapsedMillis = (System.nanoTime() - lastFailureNanos.get()) / 1_000_000;
        assertTrue(elapsedMillis < 6_000, elapsedMillis + " ms after the last failure");
    }
}
