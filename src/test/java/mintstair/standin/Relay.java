package mintstair.standin;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/** A network path to a server that breaks as it is told: cut, silent, refused, torn in the middle of a message. */
public final class Relay implements AutoCloseable {
    public final AtomicLong toClients = new AtomicLong();
    public final AtomicLong connections = new AtomicLong();
    private final int port;
    private final int target;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final Set<Socket> mute = ConcurrentHashMap.newKeySet();
    private volatile ServerSocket server;
    private volatile boolean silent;
    /** How many bytes still go to clients before all connections are cut; negative for no bound. */
    private volatile long tearAfter = -1;

    public Relay(int target) throws IOException {
        this.target = target;
        server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        port = server.getLocalPort();
        StandInHost.daemon(() -> accept(server));
    }

    public int port() {
        return port;
    }

    /** Resets all connections. */
    public void cut() {
        for (Socket socket : sockets) {
            close(socket);
        }
        sockets.clear();
    }

    /** Cuts all connections once this many more bytes went to clients. */
    public void tear(long bytes) {
        tearAfter = bytes;
    }

    /** Connections stay open and new ones come up, but nothing passes; after it, those of the silence are cut. */
    public void silence(boolean on) {
        silent = on;
        if (!on) {
            cut();
        }
    }

    /** What is open says nothing more and stays open; new connections are as good as ever. */
    public void mute() {
        mute.addAll(sockets);
    }

    /** Refuses new connections, and cuts those that there are; or takes them again. */
    public synchronized void refuse(boolean on) throws IOException {
        if (on) {
            server.close();
            cut();
        } else if (server.isClosed()) {
            ServerSocket again = new ServerSocket();
            again.setReuseAddress(true);
            again.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 200);
            server = again;
            StandInHost.daemon(() -> accept(again));
        }
    }

    private void accept(ServerSocket on) {
        while (!on.isClosed()) {
            try {
                Socket client = on.accept();
                connections.incrementAndGet();
                Socket behind = new Socket(InetAddress.getByName("127.0.0.1"), target);
                client.setTcpNoDelay(true);
                behind.setTcpNoDelay(true);
                sockets.add(client);
                sockets.add(behind);
                StandInHost.daemon(() -> pass(client, behind, false));
                StandInHost.daemon(() -> pass(behind, client, true));
            } catch (IOException e) {
                // The listener is closed, or there is no server.
            }
        }
    }

    private void pass(Socket from, Socket to, boolean toClient) {
        byte[] bytes = new byte[16 * 1024];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int n = in.read(bytes); n >= 0; n = in.read(bytes)) {
                if (silent || mute.contains(from)) {
                    continue;
                }
                if (toClient) {
                    long left = tearAfter;
                    if (left >= 0 && n >= left) {
                        out.write(bytes, 0, (int) left);
                        tearAfter = -1;
                        cut();
                        return;
                    }
                    tearAfter = left < 0 ? -1 : left - n;
                    toClients.addAndGet(n);
                }
                out.write(bytes, 0, n);
            }
        } catch (IOException e) {
            // One side is gone: the other follows.
        }
        close(from);
        close(to);
        sockets.remove(from);
        sockets.remove(to);
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed all the same.
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
        cut();
    }
}
