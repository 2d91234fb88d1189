package mintstair.standin;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;

/** Discovery: the whole list, and a watch that waits for a newer one. */
public final class Discovery implements AutoCloseable {
    public final CopyOnWriteArrayList<String> asked = new CopyOnWriteArrayList<>();
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
            asked.add(String.valueOf(query));
            byte[] body = answer(query == null ? -1 : Integer.parseInt(query.replaceAll(".*index=(\\d+).*", "$1")))
                .getBytes(StandardCharsets.UTF_8);
            exchange.sendResponseHeaders(200, body.length);
            exchange.getResponseBody().write(body);
            exchange.close();
        });
        server.start();
    }

    public int port() {
        return server.getAddress().getPort();
    }

    /** Tells all watches of a new list, or of whatever else this text is. */
    public synchronized void tell(String targets) {
        list = targets;
        revision++;
        notifyAll();
    }

    private synchronized String answer(int known) {
        try {
            while (known >= revision) {
                wait(20_000);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return "{\"rev\":" + revision + ",\"all\":true,\"targets\":[" + list + "]}";
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
