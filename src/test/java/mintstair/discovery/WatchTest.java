package mintstair.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.net.httpserver.HttpServer;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import mintstair.program.Program;
import mintstair.proxy.Loop;
import mintstair.request.HostList;
import mintstair.stats.Counters;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.junit.jupiter.api.Test;

class WatchTest {
    private static final byte[] LIST = "{\"rev\":7,\"all\":true,\"targets\":[]}".getBytes();

    /** Guards against adding to a herd: turned away, it asks again later, on its connection, and for no more than before. */
    @Test
    void turnedAwayItKeepsItsRevisionAndItsConnection() throws Exception {
        List<String> asked = new CopyOnWriteArrayList<>();
        List<Integer> ports = new CopyOnWriteArrayList<>();
        AtomicInteger calls = new AtomicInteger();
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 50);
        server.createContext("/registry/instances", exchange -> {
            asked.add(String.valueOf(exchange.getRequestURI().getQuery()));
            ports.add(exchange.getRemoteAddress().getPort());
            exchange.getRequestBody().readAllBytes();
            int call = calls.incrementAndGet();
            boolean away = call == 1 || call == 3 || call == 4;
            exchange.sendResponseHeaders(away ? 503 : 200, away ? -1 : LIST.length);
            if (!away) {
                exchange.getResponseBody().write(LIST);
            }
            exchange.close();
        });
        server.start();
        TCPNIOTransport transport = TCPNIOTransportBuilder.newInstance().setSelectorRunnersCount(1).build();
        transport.start();
        Counters counters = new Counters();
        List<HostList> told = new CopyOnWriteArrayList<>();
        try (Loop loop = new Loop()) {
            Watch watch = new Watch(loop, transport, server.getAddress(), null, 3, new Random(1), counters, told::add);
            loop.execute(watch::start);
            Program.await(() -> calls.get() > 4 && told.size() > 1, "the list after the refusals");
            loop.execute(watch::end);
        } finally {
            transport.shutdownNow();
            server.stop(0);
        }
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
        List<String> asked = new CopyOnWriteArrayList<>();
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 50);
        server.createContext("/registry/instances", exchange -> {
            String query = String.valueOf(exchange.getRequestURI().getQuery());
            asked.add(query);
            byte[] answer = query.startsWith("index=41&") ? "{\"rev\":3,\"all\":false,\"targets\":[]}".getBytes() : LIST;
            exchange.sendResponseHeaders(200, answer.length);
            exchange.getResponseBody().write(answer);
            exchange.close();
        });
        server.start();
        TCPNIOTransport transport = TCPNIOTransportBuilder.newInstance().setSelectorRunnersCount(1).build();
        transport.start();
        Counters counters = new Counters();
        List<HostList> told = new CopyOnWriteArrayList<>();
        try (Loop loop = new Loop()) {
            Watch watch = new Watch(loop, transport, server.getAddress(), new HostList(41, true, List.of()), 3, new Random(1), counters, told::add);
            loop.execute(watch::start);
            Program.await(() -> told.size() > 0 && asked.size() > 2, "the whole list");
            loop.execute(watch::end);
        } finally {
            transport.shutdownNow();
            server.stop(0);
        }
        assertEquals("index=41&wait=2000", asked.get(0));
        assertEquals("null", asked.get(1));
        assertEquals(7, told.get(0).revision());
        assertTrue(asked.get(2).startsWith("index=7&"), asked.toString());
    }
}
