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
 * How responses of discovery end, over sockets, by a script with one step a connection; the last step serves all
 * further ones.
 */
class ResponseEndTest {
    private static final String LIST =
            "{\"rev\":7,\"all\":true,\"targets\":[{\"uid\":\"h1\",\"endpoint\":\"127.0.0.1:1\",\"az\":\"a\","
                    + "\"model\":\"m\",\"pod_group\":1,\"state\":\"SERVING\",\"capacity_hint\":1.0,\"boot_ms\":0}]}";
    private static final String HEAD_WITHOUT_LENGTH =
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n";
    private static final String HEAD_WITH_LENGTH = "HTTP/1.1 200 OK\r\nContent-Length: " + LIST.length() + "\r\n\r\n";

    /** What one connection does after its first request. */
    private interface Step {
        void play(Socket socket, OutputStream out) throws IOException;
    }

    private static final Step SILENCE = (socket, out) -> {};

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
            step.play(socket, socket.getOutputStream());
        } catch (IOException e) {
            // The watch closed the connection.
        }
    }

    private static WatchPacing localAgent() {
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

    private static Step resetAfter(String text) {
        return (socket, out) -> {
            out.write(text.getBytes(StandardCharsets.UTF_8));
            out.flush();
            reset().play(socket, out);
        };
    }

    private void awaitList() {
        Program.await(() -> !lists.isEmpty(), "the list");
    }

    /**
     * A reset before the last byte, wherever it comes, is no end of a list that has no length: the snapshot is
     * requested again.
     */
    @Test
    void resetIsNoEndOfAListWithoutALength() {
        List<Step> steps = new ArrayList<>();
        for (int n = 1; n < LIST.length(); n += 9) {
            steps.add(resetAfter(HEAD_WITHOUT_LENGTH + LIST.substring(0, n)));
        }
        steps.add(sends(HEAD_WITH_LENGTH + LIST));

        watch(localAgent(), steps.toArray(Step[]::new));
        awaitList();

        int deltaRequests = requests.get(requests.size() - 1).contains("index=7") ? 1 : 0;
        assertEquals(steps.size(), requests.size() - deltaRequests, "one request for each: " + requests);
        assertEquals(
                List.of(1), lists.stream().map(list -> list.entries().size()).toList());
        assertTrue(
                requests.subList(0, steps.size()).stream().noneMatch(line -> line.contains("index")),
                requests.toString());
    }

    @Test
    void endOfTheConnectionIsTheEndOfAListWithoutALength() {
        watch(localAgent(), (socket, out) -> {
            out.write((HEAD_WITHOUT_LENGTH + LIST).getBytes(StandardCharsets.UTF_8));
            socket.close();
        });
        Program.await(() -> lists.size() > 1, "the list, again and again");

        assertEquals(1, lists.get(0).entries().size());
    }

    /** Silent from the first byte, in the head, and in the body: each is hedged after a quarter of the grace period. */
    @Test
    void responseThatFallsSilentIsHedgedWithinTheGracePeriod() {
        long startNanos = System.nanoTime();

        watch(
                localAgent(),
                SILENCE,
                sends(HEAD_WITH_LENGTH.substring(0, 20)),
                sends(HEAD_WITH_LENGTH + LIST.substring(0, 50)),
                sends(HEAD_WITH_LENGTH + LIST));
        awaitList();

        long tookMillis = (System.nanoTime() - startNanos) / 1_000_000;
        assertTrue(tookMillis < 1_500, tookMillis + " ms");
    }

    /**
     * After a snapshot the agent is silent for good on every connection: it is polled on and on, and the list is kept.
     */
    @Test
    void agentThatFallsSilentForGoodIsPolledOnAndOn() {
        watch(localAgent(), sends(HEAD_WITH_LENGTH + LIST), SILENCE);
        Program.await(() -> requests.size() > 8, "further calls");

        assertEquals(1, lists.size());
        assertTrue(requests.get(requests.size() - 1).contains("index=7&wait=1"), "from the known revision");
    }

    /** Guards the heap of a small process against a response that never ends. */
    @Test
    void endlessResponseIsCutOff() {
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

    /** A shared service that resets and rejects in turn: the list is there within 6 s of when it could be served. */
    @Test
    void sharedServiceIsPolledAgainInTime() {
        AtomicLong lastFailureNanos = new AtomicLong();
        Step failing = (socket, out) -> {
            lastFailureNanos.set(System.nanoTime());
            reset().play(socket, out);
        };
        Step rejectingOnce = (socket, out) -> {
            lastFailureNanos.set(System.nanoTime());
            sends("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n").play(socket, out);
            // The next call comes on the same connection.
            while (socket.getInputStream().read() != '\n') {}
            sends(HEAD_WITH_LENGTH + LIST).play(socket, out);
        };

        watch(WatchPacing.forSharedService(120, 120, new Random(1)), failing, failing, rejectingOnce);
        awaitList();

        long tookMillis = (System.nanoTime() - lastFailureNanos.get()) / 1_000_000;
        assertTrue(tookMillis < 6_000, tookMillis + " ms after the last failure");
    }
}
