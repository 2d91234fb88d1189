package mintstair.standin;

import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

/** A db host of either protocol: it answers at once, or as its script says for a request's id. */
public abstract class StandInHost implements AutoCloseable {
    /** What a host does with a request. */
    public enum Act {
        SERVE,
        MISS,
        ERROR,
        FULL,
        BREAK,
        SILENT,
        NOISE,
        TORN,
        HUGE,
        TWICE,
        TRAILED,
        LONG,
        LONG_TORN
    }

    public final String name;
    public final List<String> seen = Collections.synchronizedList(new ArrayList<>());
    public final Map<String, Act> script = new ConcurrentHashMap<>();
    public volatile boolean primary;
    public volatile long positionMillis;
    /** Whether a value is that of its key, the same each time, in place of the request's id. */
    public volatile boolean byKey;
    /** What sees each request first, in the order of arrival at all hosts that share it. */
    public Consumer<String> witness = line -> {};

    private final AtomicInteger open = new AtomicInteger();
    private final ServerSocket server;
    private final Set<Socket> sockets = Collections.synchronizedSet(new HashSet<>());

    protected StandInHost(String name, boolean primary, long positionMillis) throws IOException {
        this.name = name;
        this.primary = primary;
        this.positionMillis = positionMillis;
        server = new ServerSocket(0, 100, InetAddress.getByName("127.0.0.1"));
        daemon(this::accept);
    }

    /** How many connections to it are open. */
    public final int open() {
        return open.get();
    }

    public final int port() {
        return server.getLocalPort();
    }

    /** This host as discovery lists it. */
    public final String listed(String state) {
        return "{\"uid\":\"" + name + "\",\"endpoint\":\"127.0.0.1:" + port() + "\",\"az\":\"a\",\"model\":\"m\","
                + "\"pod_group\":1,\"state\":\"" + state + "\",\"capacity_hint\":1.0,\"boot_ms\":0,\"rank\":\""
                + (primary ? "source" : "copy") + "\"}";
    }

    /** Notes a request and says what to do with it; {@code SILENT} ones are never answered. */
    protected final Act act(String id) {
        seen.add(id);
        witness.accept(id + " at " + name);
        return script.getOrDefault(id, Act.SERVE);
    }

    protected abstract void serve(DataInputStream in, OutputStream out) throws IOException;

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                daemon(() -> {
                    open.incrementAndGet();
                    try (socket) {
                        serve(new DataInputStream(socket.getInputStream()), socket.getOutputStream());
                    } catch (IOException e) {
                        // The proxy went away, or the script ended the connection.
                    } finally {
                        open.decrementAndGet();
                    }
                });
            } catch (IOException e) {
                return;
            }
        }
    }

    public static void daemon(Runnable task) {
        Thread thread = new Thread(task, "stand-in");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public final void close() throws IOException {
        server.close();
        synchronized (sockets) {
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }
}
