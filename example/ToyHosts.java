import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A toy group of db hosts and its discovery, all on 127.0.0.1: a primary on port 6001, replicas on 6002 and 6003,
 * discovery on 8500. They share one table in memory; each host prints what it is asked. Start it with
 * {@code java example/ToyHosts.java}; it runs until it is stopped.
 */
public final class ToyHosts {
    private static final Pattern READ = Pattern.compile("SELECT payload FROM entries WHERE ref = '([^']*)'.*");
    private static final Pattern WRITE = Pattern.compile(
            "INSERT INTO entries \\(ref, payload\\) VALUES \\('([^']*)', '([^']*)'\\) RETURNING payload.*");
    private static final Pattern WAIT = Pattern.compile("(?:^|&)wait=(\\d{1,9})");
    private static final Map<String, String> TABLE = new ConcurrentHashMap<>();

    private ToyHosts() {}

    /** Serves until it is ended. */
    public static void main(String[] args) throws IOException {
        for (int i = 1; i <= 3; i++) {
            int number = i;
            ServerSocket server = new ServerSocket(6000 + i, 50, InetAddress.getByName("127.0.0.1"));
            new Thread(() -> accept(server, number)).start();
        }
        HttpServer discovery = HttpServer.create(new InetSocketAddress("127.0.0.1", 8500), 50);
        discovery.setExecutor(Executors.newCachedThreadPool());
        discovery.createContext("/registry/instances", exchange -> {
            String query = exchange.getRequestURI().getQuery();
            boolean watch = query != null;
            if (watch) {
                // Nothing ever changes here, so a watch waits as long as it asks to, and no longer.
                try {
                    Thread.sleep(waitMillis(query));
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
            byte[] body = list(watch).getBytes(StandardCharsets.UTF_8);
            exchange.sendResponseHeaders(200, body.length);
            exchange.getResponseBody().write(body);
            exchange.close();
        });
        discovery.start();
        System.out.println("three toy hosts and their discovery are up");
    }

    /** How long a watch asks to wait for a change, in milliseconds. */
    private static long waitMillis(String query) {
        Matcher wait = WAIT.matcher(query);
        return wait.find() ? Long.parseLong(wait.group(1)) : 0;
    }

    private static String list(boolean watch) {
        StringBuilder targets = new StringBuilder();
        for (int i = 1; i <= 3 && !watch; i++) {
            targets.append(i > 1 ? "," : "")
                    .append("{\"uid\":\"db-")
                    .append(i)
                    .append("\",\"endpoint\":\"127.0.0.1:")
                    .append(6000 + i)
                    .append("\",\"az\":\"here\",\"model\":\"toy\",\"pod_group\":1,\"state\":\"SERVING\",")
                    .append("\"capacity_hint\":1.0,\"boot_ms\":0,\"rank\":\"")
                    .append(i == 1 ? "source" : "copy")
                    .append("\"}");
        }
        return "{\"rev\":1,\"all\":" + !watch + ",\"targets\":[" + targets + "]}";
    }

    private static void accept(ServerSocket server, int number) {
        while (true) {
            try {
                Socket socket = server.accept();
                new Thread(() -> serve(socket, number)).start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private static void serve(Socket socket, int number) {
        try (socket) {
            DataInputStream in = new DataInputStream(socket.getInputStream());
            DataOutputStream out = new DataOutputStream(socket.getOutputStream());
            in.readNBytes(in.readInt() - 4);
            message(out, 'R', new byte[4]);
            message(out, 'Z', new byte[] {'I'});
            for (int type = in.read(); type == 'Q'; type = in.read()) {
                byte[] text = in.readNBytes(in.readInt() - 4);
                answer(out, new String(text, 0, text.length - 1, StandardCharsets.UTF_8), number);
            }
        } catch (IOException e) {
            // The proxy let go of this connection.
        }
    }

    private static void answer(DataOutputStream out, String query, int number) throws IOException {
        long now = System.currentTimeMillis();
        boolean primary = number == 1;
        Matcher read = READ.matcher(query);
        Matcher write = WRITE.matcher(query);
        if (query.equals("SHOW vitals")) {
            row(out, "x0=" + now / 1000.0 + ",x1=" + (primary ? 1 : 0) + ",inflight=0,util=0.0");
        } else if (write.matches() && primary) {
            TABLE.put(write.group(1), write.group(2));
            System.out.println("db-" + number + " wrote " + write.group(1));
            row(out, write.group(2));
        } else if (read.matches()) {
            System.out.println("db-" + number + " read " + read.group(1));
            row(out, TABLE.getOrDefault(read.group(1), "nothing yet"));
        } else if (!query.isBlank()) {
            String code = write.matches() ? "25006" : "08P01";
            message(out, 'E', ("SERROR\0VERROR\0C" + code + "\0Mnot here\0\0").getBytes(StandardCharsets.UTF_8));
        }
        message(out, 'S', ("rank\0" + (primary ? "source" : "copy") + "\0").getBytes(StandardCharsets.UTF_8));
        message(out, 'S', ("as_of\0" + now + "\0").getBytes(StandardCharsets.UTF_8));
        message(out, 'Z', new byte[] {'I'});
        out.flush();
    }

    private static void row(DataOutputStream out, String value) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        DataOutputStream fields = new DataOutputStream(head);
        fields.writeShort(1);
        fields.write("payload\0".getBytes(StandardCharsets.UTF_8));
        fields.writeInt(0);
        fields.writeShort(0);
        fields.writeInt(25);
        fields.writeShort(-1);
        fields.writeInt(-1);
        fields.writeShort(0);
        message(out, 'T', head.toByteArray());
        byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        DataOutputStream columns = new DataOutputStream(body);
        columns.writeShort(1);
        columns.writeInt(bytes.length);
        columns.write(bytes);
        message(out, 'D', body.toByteArray());
        message(out, 'C', "SELECT 1\0".getBytes(StandardCharsets.UTF_8));
    }

    private static void message(DataOutputStream out, char type, byte[] body) throws IOException {
        out.write(type);
        out.writeInt(body.length + 4);
        out.write(body);
    }
}
