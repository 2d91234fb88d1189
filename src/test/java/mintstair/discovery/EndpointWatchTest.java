package mintstair.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BooleanSupplier;
import mintstair.discovery.pace.WatchPacing;
import mintstair.discovery.pace.WatchPacing.Failure;
import mintstair.program.Program;
import mintstair.proxy.EventLoop;
import mintstair.request.EndpointList;
import mintstair.stats.Counters;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.junit.jupiter.api.Test;

/** Tests which calls the watch makes to a scripted discovery service, and when. */
class EndpointWatchTest {
    private static final String SNAPSHOT = "{\"rev\":7,\"all\":true,\"targets\":[]}";
    private static final String OLDER_DELTA = "{\"rev\":3,\"all\":false,\"targets\":[]}";

    private final List<String> queries = new CopyOnWriteArrayList<>();
    private final List<Integer> clientPorts = new CopyOnWriteArrayList<>();
    private final List<Long> callTimesNanos = new CopyOnWriteArrayList<>();
    private final List<EndpointList> lists = new CopyOnWriteArrayList<>();
    private final Counters counters = new Counters();

    /** Decides how the service responds to each call. */
    private interface Script {
        /** Returns the body of the response to a call, numbered from 1, or null to reject the call with status 503. */
        String respond(int call, String query);
    }

    /** Watches the scripted service as one of three proxies, starting at a revision, until the condition holds. */
    private void watch(long revision, int endpoints, Script script, BooleanSupplier condition) throws Exception {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 50);
        server.createContext("/registry/instances", exchange -> serve(exchange, script));
        server.start();
        TCPNIOTransport transport =
                TCPNIOTransportBuilder.newInstance().setSelectorRunnersCount(1).build();
        transport.start();
        try (EventLoop loop = new EventLoop()) {
            WatchPacing pacing = WatchPacing.forSharedService(3, endpoints, new Random(1));
            EndpointWatch watch =
                    new EndpointWatch(loop, transport, server.getAddress(), revision, pacing, counters, lists::add);
            loop.execute(watch::start);
            Program.await(condition, "the calls");
            loop.execute(watch::close);
        } finally {
            transport.shutdownNow();
            server.stop(0);
        }
    }

    private void serve(HttpExchange exchange, Script script) throws IOException {
        callTimesNanos.add(System.nanoTime());
        clientPorts.add(exchange.getRemoteAddress().getPort());
        String query = String.valueOf(exchange.getRequestURI().getQuery());
        queries.add(query);
        exchange.getRequestBody().readAllBytes();
        String body = script.respond(queries.size(), query);
        exchange.sendResponseHeaders(body == null ? 503 : 200, body == null ? -1 : body.length());
        if (body != null) {
            exchange.getResponseBody().write(body.getBytes(StandardCharsets.UTF_8));
        }
        exchange.close();
    }

    /** Guards against new connections and calls for the snapshot that add to the load of an overloaded service. */
    @Test
    void rejectedCallIsRetriedOnTheSameConnectionFromTheSameRevision() throws Exception {
        Script script = (call, query) -> call == 1 || call == 3 || call == 4 ? null : SNAPSHOT;

        watch(-1, 0, script, () -> queries.size() > 4 && lists.size() > 1);

        assertEquals(3, counters.discoveryCallsFailed);
        assertTrue(counters.discoveryCalls >= 5);
        assertEquals("null", queries.get(0));
        assertEquals("null", queries.get(1), "no revision is known yet");
        for (int i = 2; i < 5; i++) {
            assertTrue(queries.get(i).startsWith("index=7&"), queries.toString());
        }
        assertEquals(1, clientPorts.subList(0, 5).stream().distinct().count(), "number of connections");
    }

    /**
     * Guards against a snapshot for each proxy of a fleet that restarts, and against applying the deltas of another
     * service.
     */
    @Test
    void watchStartsAtTheKnownRevisionAndRequestsTheSnapshotAfterAnOlderDelta() throws Exception {
        Script script = (call, query) -> query.startsWith("index=41&") ? OLDER_DELTA : SNAPSHOT;

        watch(41, 0, script, () -> lists.size() > 0 && queries.size() > 2);

        assertEquals("index=41&wait=2000", queries.get(0));
        assertEquals("null", queries.get(1));
        assertEquals(7, lists.get(0).revision());
        assertTrue(queries.get(2).startsWith("index=7&"), queries.toString());
    }

    /**
     * Guards against a thundering herd when a fleet changes to another service: the revision there is unknown, while
     * the length of the list is known.
     */
    @Test
    void retryDelayDependsOnTheLengthOfTheListWithoutARevision() throws Exception {
        long delayMicros = WatchPacing.forSharedService(3, 60, new Random(1)).retryDelayMicros(Failure.REJECTED);
        assertTrue(delayMicros > 200_000, "the delay is longer than for an empty list");

        watch(-1, 60, (call, query) -> call == 1 ? null : SNAPSHOT, () -> lists.size() > 0);

        long elapsedNanos = callTimesNanos.get(1) - callTimesNanos.get(0);
        assertTrue(elapsedNanos >= (delayMicros - 10_000) * 1000, elapsedNanos / 1000 + " us");
    }
}
