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

/**
 * A database host of either protocol. It serves each request at once, unless the test has set another behavior for the
 * id of the request.
 */
public abstract class StandInHost implements AutoCloseable {
    /** What a host does with a request; SERVE is the default. */
    public enum HostBehavior {
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
    /** The ids of the received requests, in the order of their arrival. */
    public final List<String> requestIds = Collections.synchronizedList(new ArrayList<>());
    /** The behaviors that differ from the default, by the id of the request. */
    public final Map<String, HostBehavior> behaviors = new ConcurrentHashMap<>();

    public volatile boolean primary;
    public volatile long positionMillis;
    /** Whether the value of a reply depends on the key alone; otherwise it is the id of the request. */
    public volatile boolean repliesWithKey;
    /** Called with the id and the host of each request on its arrival; may be shared by several hosts. */
    public Consumer<String> observer = line -> {};

    private final AtomicInteger openConnections = new AtomicInteger();
    private final ServerSocket server;
    private final Set<Socket> sockets = Collections.synchronizedSet(new HashSet<>());

    protected StandInHost(String name, boolean primary, long positionMillis) throws IOException {
        this.name = name;
        this.primary = primary;
        this.positionMillis = positionMillis;
        server = new ServerSocket(0, 100, InetAddress.getByName("127.0.0.1"));
        daemon(this::accept);
    }

    /** Returns the number of open connections to this host. */
    public final int open() {
        return openConnections.get();
    }

    public final int port() {
        return server.getLocalPort();
    }

    /** Returns the entry of this host in the list that discovery publishes. */
    public final String listed(String state) {
        return "{\"uid\":\"" + name + "\",\"endpoint\":\"127.0.0.1:" + port() + "\",\"az\":\"a\",\"model\":\"m\","
                + "\"pod_group\":1,\"state\":\"" + state + "\",\"capacity_hint\":1.0,\"boot_ms\":0,\"rank\":\""
                + (primary ? "source" : "copy") + "\"}";
    }

    /** Records a request and returns what to do with it. */
    protected final HostBehavior requestReceived(String id) {
        requestIds.add(id);
        observer.accept(id + " at " + name);
        return behaviors.getOrDefault(id, HostBehavior.SERVE);
    }

    protected abstract void serve(DataInputStream in, OutputStream out) throws IOException;

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                daemon(() -> {
                    openConnections.incrementAndGet();
                    try (socket) {
                        serve(new DataInputStream(socket.getInputStream()), socket.getOutputStream());
                    } catch (IOException e) {
                        // The proxy has closed the connection, or the behavior was to break it.
                    } finally {
                        openConnections.decrementAndGet();
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
