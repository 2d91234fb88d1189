package mintstair.standin;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * The discovery service. It sends the whole list in chunks of random length, and holds a watch until there is a newer
 * list or the wait that the client asked for is over.
 */
public final class Discovery implements AutoCloseable {
    /** The query strings of all calls; "null" for a call without one. */
    public final CopyOnWriteArrayList<String> queries = new CopyOnWriteArrayList<>();

    private final HttpServer server;
    private int revision = 1;
    private String list;

    public Discovery(String targets) throws IOException {
        list = targets;
        server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 50);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task, "discovery");
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/registry/instances", exchange -> {
            String query = exchange.getRequestURI().getQuery();
            queries.add(String.valueOf(query));
            byte[] body = (query == null
                            ? answer(-1, 0)
                            : answer(
                                    Integer.parseInt(query.replaceAll(".*index=(\\d+).*", "$1")),
                                    Long.parseLong(query.replaceAll(".*wait=(\\d+).*", "$1"))))
                    .getBytes(StandardCharsets.UTF_8);
            exchange.sendResponseHeaders(200, body.length);
            Random pieces = new Random(body.length);
            for (int at = 0; at < body.length; ) {
                int n = Math.min(body.length - at, 1 + pieces.nextInt(4096));
                exchange.getResponseBody().write(body, at, n);
                exchange.getResponseBody().flush();
                at += n;
            }
            exchange.close();
        });
        server.start();
    }

    /**
     * Returns list entries of hosts that accept no connections, named from h0 on, in groups of three. The text is
     * indented.
     *
     * @param states the states of those hosts that are not serving, such as h7=DRAINING
     */
    public static String hosts(int count, String... states) {
        Map<String, String> stateByHost =
                Stream.of(states).map(s -> s.split("=")).collect(Collectors.toMap(s -> s[0], s -> s[1]));
        return IntStream.range(0, count)
                .mapToObj(i -> ("{#\"uid\":\"h" + i + "\",#\"endpoint\":\"127.0.0.1:1\",#\"az\":\"a\",#\"model\":\"m\","
                                + "#\"pod_group\":" + i / 3 + ",#\"state\":\""
                                + stateByHost.getOrDefault("h" + i, "SERVING")
                                + "\",#\"capacity_hint\":1.0,#\"boot_ms\":0,"
                                + "#\"rank\":\"" + (i % 3 == 0 ? "source" : "copy") + "\"}")
                        .replace("#", "\n    "))
                .collect(Collectors.joining(",\n  "));
    }

    public int port() {
        return server.getAddress().getPort();
    }

    /** Publishes a new list to all watches; the text need not be a valid list. */
    public synchronized void publish(String targets) {
        list = targets;
        revision++;
        notifyAll();
    }

    private synchronized String answer(int known, long waitMillis) {
        long until = System.nanoTime() / 1_000_000 + waitMillis;
        try {
            for (long left = waitMillis; known >= revision && left > 0; left = until - System.nanoTime() / 1_000_000) {
                wait(left);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (known >= revision) {
            return "{\"rev\":" + revision + ",\"all\":false,\"targets\":[]}";
        }
        return "{\"rev\":" + revision + ",\"all\":true,\"targets\":[" + list + "]}";
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
