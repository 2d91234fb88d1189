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

/** How answers of discovery end, on sockets, by a script of one step for each connection; the last goes for all further ones. */
class AnswerEndsTest {
    private static final String LIST =
            "{\"rev\":7,\"all\":true,\"targets\":[{\"uid\":\"h1\",\"endpoint\":\"127.0.0.1:1\",\"az\":\"a\",\"model\":\"m\","
                    + "\"pod_group\":1,\"state\":\"SERVING\",\"capacity_hint\":1.0,\"boot_ms\":0}]}";
    private static final String NO_LENGTH =
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n";
    private static final String WITH_LENGTH = "HTTP/1.1 200 OK\r\nContent-Length: " + LIST.length() + "\r\n\r\n";

    /** What one connection does once it was asked. */
    private interface Step {
        void play(Socket socket, OutputStream out) throws IOException;
    }

    private final EventLoop loop = new EventLoop();
    private final TCPNIOTransport transport =
            TCPNIOTransportBuilder.newInstance().setSelectorRunnersCount(1).build();
    private final List<EndpointList> told = new CopyOnWriteArrayList<>();
    private final List<String> asked = new CopyOnWriteArrayList<>();
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

    private void watch(WatchPacing pace, Step... steps) {
        StandInHost.daemon(() -> {
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
        });
        EndpointWatch watch = new EndpointWatch(
                loop, transport, (InetSocketAddress) server.getLocalSocketAddress(), -1, pace, counters, told::add);
        loop.execute(watch::start);
    }

    private void serve(Socket socket, Step step) {
        try {
            StringBuilder head = new StringBuilder();
            while (head.indexOf("\r\n\r\n") < 0) {
                int c = socket.getInputStream().read();
                if (c < 0) {
                    return;
                }
                head.append((char) c);
            }
            asked.add(head.substring(0, head.indexOf("\r\n")));
            step.play(socket, socket.getOutputStream());
        } catch (IOException e) {
            // The watch gave it up.
        }
    }

    private static WatchPacing own() {
        return WatchPacing.pushed(1_000_000, new Random(1));
    }

    private static Step says(String text) {
        return (socket, out) -> out.write(text.getBytes(StandardCharsets.UTF_8));
    }

    private static Step resetAfter(String text) {
        return (socket, out) -> {
            out.write(text.getBytes(StandardCharsets.UTF_8));
            out.flush();
            socket.setSoLinger(true, 0);
            socket.close();
        };
    }

    /** A list of no told length that is reset on the way, anywhere before its last byte, is none: the whole is asked for. */
    @Test
    void resetIsNoEndOfAListWithoutALength() {
        List<Step> steps = new ArrayList<>();
        for (int n = 1; n < LIST.length(); n += 9) {
            steps.add(resetAfter(NO_LENGTH + LIST.substring(0, n)));
        }
        steps.add(says(WITH_LENGTH + LIST));
        watch(own(), steps.toArray(Step[]::new));
        Program.await(() -> !told.isEmpty(), "the list");
        assertEquals(
                steps.size(),
                asked.size() - (asked.get(asked.size() - 1).contains("index=7") ? 1 : 0),
                "one call for each: " + asked);
        assertEquals(
                List.of(1), told.stream().map(list -> list.entries().size()).toList());
        assertTrue(asked.subList(0, steps.size()).stream().noneMatch(line -> line.contains("index")), asked.toString());
    }

    /** The end of the connection is the end of a list without a length. */
    @Test
    void listWithoutALengthIsWholeAtItsEnd() {
        watch(own(), (socket, out) -> {
            out.write((NO_LENGTH + LIST).getBytes(StandardCharsets.UTF_8));
            socket.close();
        });
        Program.await(() -> told.size() > 1, "the list, again and again");
        assertEquals(1, told.get(0).entries().size());
    }

    /** Silent from the first byte, in the head, in the middle of a list: each is given up within the grace, and asked beside. */
    @Test
    void answerThatFallsSilentIsAskedForAnewWithinTheGrace() {
        long began = System.nanoTime();
        watch(
                own(),
                (socket, out) -> {},
                says(WITH_LENGTH.substring(0, 20)),
                says(WITH_LENGTH + LIST.substring(0, 50)),
                says(WITH_LENGTH + LIST));
        Program.await(() -> !told.isEmpty(), "the list");
        // A quarter of the grace for each of three.
        long took = (System.nanoTime() - began) / 1_000_000;
        assertTrue(took < 1_500, took + " ms");
    }

    /** After a whole list it says nothing more, for good, on any connection: it is asked on and on, and its list stands. */
    @Test
    void agentThatFallsSilentForGoodIsAskedOnAndOn() {
        watch(own(), says(WITH_LENGTH + LIST), (socket, out) -> {});
        Program.await(() -> asked.size() > 8, "further calls");
        assertEquals(1, told.size());
        assertTrue(asked.get(asked.size() - 1).contains("index=7&wait=1"), "by the revision that it has");
    }

    /** An answer without end must not fill the heap of a small process until its time is over. */
    @Test
    void answerWithoutEndIsCutOff() {
        AtomicLong written = new AtomicLong();
        watch(
                WatchPacing.asked(3, 12, new Random(1)),
                (socket, out) -> {
                    byte[] more = " ".repeat(64 * 1024).getBytes(StandardCharsets.UTF_8);
                    out.write(NO_LENGTH.getBytes(StandardCharsets.UTF_8));
                    while (true) {
                        out.write(more);
                        written.addAndGet(more.length);
                    }
                },
                says(WITH_LENGTH + LIST));
        Program.await(() -> !told.isEmpty(), "the list");
        assertTrue(written.get() < 16L * 1024 * 1024, written + " bytes");
    }

    /** A shared service that turns away, resets and is silent by turns: the list is known within 6 s of when it answers. */
    @Test
    void sharedServiceIsAskedAgainInTime() {
        AtomicLong last = new AtomicLong();
        Step away = (socket, out) -> {
            last.set(System.nanoTime());
            out.write("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.UTF_8));
        };
        Step reset = (socket, out) -> {
            last.set(System.nanoTime());
            socket.setSoLinger(true, 0);
            socket.close();
        };
        watch(WatchPacing.asked(120, 120, new Random(1)), reset, reset, (socket, out) -> {
            away.play(socket, out);
            // The next call comes on the same connection.
            while (socket.getInputStream().read() != '\n') {}
            says(WITH_LENGTH + LIST).play(socket, out);
        });
        Program.await(() -> !told.isEmpty(), "the list");
        long took = (System.nanoTime() - last.get()) / 1_000_000;
        assertTrue(took < 6_000, took + " ms after it was turned away last");
    }
}
