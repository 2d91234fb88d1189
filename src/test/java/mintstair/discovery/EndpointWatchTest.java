package mintstair.discovery;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.net.httpserver.HttpServer;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BiFunction;
import java.util.function.BooleanSupplier;
import mintstair.discovery.pace.WatchPacing;
import mintstair.program.Program;
import mintstair.proxy.EventLoop;
import mintstair.request.EndpointList;
import mintstair.stats.Counters;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.junit.jupiter.api.Test;

class EndpointWatchTest {
    private static final String LIST = "{\"rev\":7,\"all\":true,\"targets\":[]}";
    private final List<String> asked = new CopyOnWriteArrayList<>();
    private final List<Integer> ports = new CopyOnWriteArrayList<>();
    private final List<Long> times = new CopyOnWriteArrayList<>();
    private final List<EndpointList> told = new CopyOnWriteArrayList<>();
    private final Counters counters = new Counters();

    /**
     * Watches a scripted discovery that is asked, from this revision on, one of three proxies, until {@code done}. The script has the number of the
     * call, from 1 on, and its query; null turns it away.
     */
    private void watch(long revision, int lines, BiFunction<Integer, String, String> script, BooleanSupplier done)
            throws Exception {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 50);
        server.createContext("/registry/instances", exchange -> {
            times.add(System.nanoTime());
            ports.add(exchange.getRemoteAddress().getPort());
            String query = String.valueOf(exchange.getRequestURI().getQuery());
            asked.add(query);
            exchange.getRequestBody().readAllBytes();
            String answer = script.apply(asked.size(), query);
            exchange.sendResponseHeaders(answer == null ? 503 : 200, answer == null ? -1 : answer.length());
            if (answer != null) {
                exchange.getResponseBody().write(answer.getBytes(UTF_8));
            }
            exchange.close();
        });
        server.start();
        TCPNIOTransport transport =
                TCPNIOTransportBuilder.newInstance().setSelectorRunnersCount(1).build();
        transport.start();
        try (EventLoop loop = new EventLoop()) {
            EndpointWatch watch = new EndpointWatch(
                    loop,
                    transport,
                    server.getAddress(),
                    revision,
                    WatchPacing.asked(3, lines, new Random(1)),
                    counters,
                    told::add);
            loop.execute(watch::start);
            Program.await(done, "the calls");
            loop.execute(watch::end);
        } finally {
            transport.shutdownNow();
            server.stop(0);
        }
    }

    /** Guards against adding to a herd: turned away, it asks again later, on its connection, and for no more than before. */
    @Test
    void turnedAwayItKeepsItsRevisionAndItsConnection() throws Exception {
        watch(
                -1,
                0,
                (call, query) -> call == 1 || call == 3 || call == 4 ? null : LIST,
                () -> asked.size() > 4 && told.size() > 1);
        assertEquals(3, counters.listCallsFailed);
        assertTrue(counters.listCalls >= 5);
        assertEquals("null", asked.get(0));
        assertEquals("null", asked.get(1), "there is no revision yet");
        for (int i = 2; i < 5; i++) {
            assertTrue(asked.get(i).startsWith("index=7&"), asked.toString());
        }
        assertEquals(1, ports.subList(0, 5).stream().distinct().count(), "one connection");
    }

    /** Guards against a whole list for each proxy of a herd, and against changes of another service taken for this list's. */
    @Test
    void knownRevisionIsAskedFromAndAnOlderAnswerAsksForTheWhole() throws Exception {
        watch(
                41,
                0,
                (call, query) -> query.startsWith("index=41&") ? "{\"rev\":3,\"all\":false,\"targets\":[]}" : LIST,
                () -> told.size() > 0 && asked.size() > 2);
        assertEquals("index=41&wait=2000", asked.get(0));
        assertEquals("null", asked.get(1));
        assertEquals(7, told.get(0).revision());
        assertTrue(asked.get(2).startsWith("index=7&"), asked.toString());
    }

    /** Guards against a herd at another discovery, where no revision is known but how long lists are: its retries are spread too. */
    @Test
    void retriesAreSpreadByTheLinesOfAListAlsoWithoutARevision() throws Exception {
        long wait = WatchPacing.asked(3, 60, new Random(1)).retry(WatchPacing.Failure.TURNED_AWAY);
        assertTrue(wait > 200_000, "more than without lines");
        watch(-1, 60, (call, query) -> call == 1 ? null : LIST, () -> told.size() > 0);
        assertTrue(times.get(1) - times.get(0) >= (wait - 10_000) * 1000, (times.get(1) - times.get(0)) / 1000 + " us");
    }
}
