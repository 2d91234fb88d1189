import java.io.Closeable;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A db host of the protocol page: it serves what it is asked in its role, or as {@link #act} says. */
public class PgHost implements Closeable {
    private static final Pattern KEY = Pattern.compile("'([^']*)'");
    private static final Pattern VALUE = Pattern.compile("', '([^']*)'\\)");
    private static final Pattern ID = Pattern.compile("[* ,]id=([^, ]*)");

    /** One query. */
    public record Query(String text, String id, String key, boolean write) {}

    public final Rig rig;
    public final String name;
    public final Map<String, String> table;
    public volatile boolean primary;
    private final ServerSocket server;

    public PgHost(Rig rig, String name, boolean primary, Map<String, String> table) throws IOException {
        this.rig = rig;
        this.name = name;
        this.primary = primary;
        this.table = table == null ? new ConcurrentHashMap<>() : table;
        server = new ServerSocket(0, 500, InetAddress.getByName("127.0.0.1"));
        Rig.daemon(this::accept);
    }

    public final int port() {
        return server.getLocalPort();
    }

    /** This host as discovery lists it, in group 1. */
    public final String listed(String state) {
        return "{\"uid\":\"" + name + "\",\"endpoint\":\"127.0.0.1:" + port() + "\",\"az\":\"here\",\"model\":\"toy\","
                + "\"pod_group\":1,\"state\":\"" + state + "\",\"capacity_hint\":1.0,\"boot_ms\":0,\"rank\":\""
                + (primary ? "source" : "copy") + "\"}";
    }

    /** Up to when it has applied the log, in Unix milliseconds. */
    public long position() {
        return System.currentTimeMillis() - (primary ? 0 : 10);
    }

    /** Asked before a query is run, on a thread of its connection; false closes the connection without an answer. */
    public volatile Predicate<Query> act = query -> true;
    /** Asked before a report is given, in the same way. */
    public volatile BooleanSupplier report = () -> true;

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                Rig.daemon(() -> {
                    try (socket) {
                        serve(new DataInputStream(socket.getInputStream()), socket.getOutputStream());
                    } catch (IOException e) {
                        // The proxy went away.
                    }
                });
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(DataInputStream in, OutputStream out) throws IOException {
        in.readNBytes(in.readInt() - 4);
        out.write(Pg.join(Pg.message('R', new byte[4]), Pg.ready()));
        for (byte[] message = Pg.read(in); message != null && message[0] == 'Q'; message = Pg.read(in)) {
            String text = new String(message, 1, message.length - 2, StandardCharsets.UTF_8);
            if (text.isBlank()) {
                out.write(Pg.join(Pg.message('I', new byte[0]), Pg.ready()));
            } else if (text.equals("SHOW vitals")) {
                if (!report.getAsBoolean()) {
                    return;
                }
                String report = "x0=" + position() / 1000.0 + ",x1=" + (primary ? 1 : 0) + ",inflight=0,util=0.1";
                out.write(Pg.join(Pg.row(Pg.text(report)), Pg.ready()));
            } else {
                byte[] answer = answer(text);
                if (answer == null) {
                    return;
                }
                out.write(answer);
            }
        }
    }

    private byte[] answer(String text) {
        Query query = new Query(text, first(ID, text), first(KEY, text), text.startsWith("INSERT"));
        rig.note(name + " gets " + (query.write() ? "write " : "read ") + query.id() + " of " + query.key());
        if (!act.test(query)) {
            return null;
        }
        byte[] reply;
        if (query.write() && !primary) {
            reply = Pg.error("25006");
        } else if (query.write()) {
            String value = first(VALUE, text);
            table.put(query.key(), value);
            reply = Pg.row(value.startsWith("\\x") ? bytes(value) : Pg.text(value));
        } else {
            String value = table.getOrDefault(query.key(), "");
            reply = Pg.row(value.startsWith("\\x") ? bytes(value) : Pg.text(value));
        }
        return Pg.join(
                reply,
                Pg.parameter("rank", primary ? "source" : "copy"),
                Pg.parameter("as_of", Long.toString(position())),
                Pg.ready());
    }

    private static byte[] bytes(String hex) {
        byte[] bytes = new byte[(hex.length() - 2) / 2];
        for (int i = 0; i < bytes.length; i++) {
            bytes[i] = (byte) Integer.parseInt(hex, 2 + 2 * i, 4 + 2 * i, 16);
        }
        return bytes;
    }

    private static String first(Pattern pattern, String text) {
        Matcher matcher = pattern.matcher(text);
        return matcher.find() ? matcher.group(1) : "";
    }

    @Override
    public final void close() throws IOException {
        server.close();
    }
}
