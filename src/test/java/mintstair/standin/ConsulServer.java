package mintstair.standin;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import com.sun.net.httpserver.HttpsConfigurator;
import com.sun.net.httpserver.HttpsServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import javax.net.ssl.SSLContext;
import mintstair.registry.view.RegistryEntry;

/**
 * A server with the part of Consul's HTTP API that the registry client uses: recursive blocking reads, check-and-set and
 * the leader. The test changes its replies by setting its fields.
 */
public final class ConsulServer implements AutoCloseable {
    public final AtomicInteger reads = new AtomicInteger();
    public volatile boolean noLeader;
    /** The status with which reads are answered instead of with the list; 0 for the list. */
    public volatile int status;

    public volatile String token;
    private final RegistryModel model;
    private final HttpServer server;

    public ConsulServer(RegistryModel model, SSLContext tls) throws IOException {
        this.model = model;
        InetSocketAddress address = new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0);
        if (tls == null) {
            server = HttpServer.create(address, 200);
        } else {
            HttpsServer secure = HttpsServer.create(address, 200);
            secure.setHttpsConfigurator(new HttpsConfigurator(tls));
            server = secure;
        }
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task, "consul");
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext(
                "/v1/status/leader", exchange -> answer(exchange, 200, noLeader ? "\"\"" : "\"127.0.0.1:8300\""));
        server.createContext("/v1/kv/", this::kv);
        server.start();
    }

    public int port() {
        return server.getAddress().getPort();
    }

    private static String parameter(String query, String name) {
        for (String each : query == null ? new String[0] : query.split("&")) {
            if (each.startsWith(name + "=")) {
                return each.substring(name.length() + 1);
            }
        }
        return "";
    }

    private void kv(HttpExchange exchange) throws IOException {
        String key = exchange.getRequestURI().getPath().substring("/v1/kv/".length());
        String query = exchange.getRequestURI().getQuery();
        byte[] body = exchange.getRequestBody().readAllBytes();
        if (token != null && !token.equals(exchange.getRequestHeaders().getFirst("X-Consul-Token"))) {
            answer(exchange, 403, "Permission denied");
        } else if (noLeader) {
            answer(exchange, 500, "No cluster leader");
        } else if (status != 0) {
            answer(exchange, status, "requested by the test");
        } else if (exchange.getRequestMethod().equals("GET")) {
            reads.incrementAndGet();
            read(exchange, key, query);
        } else {
            boolean done;
            synchronized (model) {
                RegistryEntry item = model.now().get(key);
                done = (item == null ? 0 : item.modRevision()) == Long.parseLong(parameter(query, "cas"));
                if (done && exchange.getRequestMethod().equals("PUT")) {
                    model.put(key, new String(body, StandardCharsets.UTF_8));
                } else if (done) {
                    model.delete(key);
                }
            }
            answer(exchange, 200, "" + done);
        }
    }

    private void read(HttpExchange exchange, String key, String query) throws IOException {
        String known = parameter(query, "index");
        List<RegistryEntry> items;
        synchronized (model) {
            long end = System.nanoTime() + 4_000_000_000L;
            while (!known.isEmpty()
                    && Long.parseLong(known) == model.revision
                    && System.nanoTime() < end
                    && !noLeader) {
                try {
                    model.wait(200);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                    return;
                }
            }
            boolean tree = query != null && query.contains("recurse");
            items = model.now().values().stream()
                    .filter(i -> tree ? i.key().startsWith(key) : i.key().equals(key))
                    .toList();
            exchange.getResponseHeaders().set("X-Consul-Index", "" + model.revision);
        }
        exchange.getResponseHeaders().set("X-Consul-KnownLeader", "true");
        exchange.getResponseHeaders().set("X-Consul-LastContact", "0");
        answer(
                exchange,
                items.isEmpty() ? 404 : 200,
                items.isEmpty()
                        ? ""
                        : items.stream()
                                .map(i -> "{\"Key\":\"" + i.key()
                                        + "\",\"Value\":\""
                                        + Base64.getEncoder().encodeToString(i.value()) + "\",\"CreateIndex\":"
                                        + i.createRevision()
                                        + ",\"ModifyIndex\":" + i.modRevision() + ",\"Flags\":0,\"LockIndex\":0}")
                                .collect(Collectors.joining(",", "[", "]")));
    }

    private static void answer(HttpExchange exchange, int status, String text) throws IOException {
        byte[] body = text.getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
        exchange.getResponseBody().write(body);
        exchange.close();
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
