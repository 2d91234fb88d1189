import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Executors;

/** The agent of discovery: the whole list, and a watch that waits for a newer one. */
public final class Discovery {
    private final HttpServer server;
    private final Rig rig;
    private int revision = 1;
    private String list;

    public Discovery(Rig rig, String targets) throws IOException {
        this.rig = rig;
        list = targets;
        server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 100);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task, "discovery");
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/registry/instances", exchange -> {
            String query = exchange.getRequestURI().getQuery();
            long known = query == null ? -1 : Long.parseLong(query.replaceAll(".*index=(-?\\d+).*", "$1"));
            long wait = query == null || !query.contains("wait=")
                    ? 0
                    : Long.parseLong(query.replaceAll(".*wait=(\\d+).*", "$1"));
            byte[] body = answer(known, wait).getBytes(StandardCharsets.UTF_8);
            exchange.sendResponseHeaders(200, body.length);
            exchange.getResponseBody().write(body);
            exchange.close();
        });
        server.start();
    }

    public int port() {
        return server.getAddress().getPort();
    }

    public synchronized void tell(String targets) {
        list = targets;
        revision++;
        rig.note("discovery has revision " + revision);
        notifyAll();
    }

    private synchronized String answer(long known, long waitMillis) {
        long until = Rig.millis() + waitMillis;
        try {
            for (long left = waitMillis; known >= revision && left > 0; left = until - Rig.millis()) {
                wait(left);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        boolean whole = known < revision;
        return "{\"rev\":" + revision + ",\"all\":" + whole + ",\"targets\":[" + (whole ? list : "") + "]}";
    }
}
