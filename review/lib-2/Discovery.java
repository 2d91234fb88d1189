import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Executors;

/** The agent of discovery: the whole list, and watches by long poll. */
final class Discovery {
    final int port;
    private int revision = 1;
    private String targets;

    Discovery(String targets) throws IOException {
        this.targets = targets;
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 50);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task, "discovery");
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/registry/instances", exchange -> {
            String query = exchange.getRequestURI().getQuery();
            int known = query == null ? -1 : Integer.parseInt(query.replaceAll(".*index=(\\d+).*", "$1"));
            long wait = query == null ? 0 : Long.parseLong(query.replaceAll(".*wait=(\\d+).*", "$1"));
            byte[] body = answer(known, wait).getBytes(StandardCharsets.UTF_8);
            exchange.sendResponseHeaders(200, body.length);
            exchange.getResponseBody().write(body);
            exchange.close();
        });
        server.start();
        port = server.getAddress().getPort();
    }

    synchronized void publish(String changed) {
        targets = changed;
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
        return known >= revision
                ? "{\"rev\":" + revision + ",\"all\":false,\"targets\":[]}"
                : "{\"rev\":" + revision + ",\"all\":true,\"targets\":[" + targets + "]}";
    }
}
