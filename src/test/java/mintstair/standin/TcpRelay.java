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

/** Forwards TCP connections to a server on this machine; the test can make the network fail in several ways. */
public final class TcpRelay implements AutoCloseable {
    /** The bytes that were forwarded to clients. */
    public final AtomicLong bytesToClients = new AtomicLong();
    /** The connections that were accepted. */
    public final AtomicLong connections = new AtomicLong();

    private final int port;
    private final int target;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    /** The sockets whose input is discarded. */
    private final Set<Socket> muted = ConcurrentHashMap.newKeySet();

    private volatile ServerSocket server;
    private volatile boolean silent;
    /** The bytes that are still forwarded to clients before all connections are closed; negative for no limit. */
    private volatile long bytesUntilClose = -1;

    public TcpRelay(int target) throws IOException {
        this.target = target;
        server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        port = server.getLocalPort();
        StandInHost.daemon(() -> accept(server));
    }

    public int port() {
        return port;
    }

    /** Closes all connections. */
    public void closeAll() {
        for (Socket socket : sockets) {
            close(socket);
        }
        sockets.clear();
    }

    /** Closes all connections once this many more bytes have been forwarded to clients. */
    public void closeAfter(long bytes) {
        bytesUntilClose = bytes;
    }

    /** Discards all bytes of open and new connections; closes all connections when that ends. */
    public void setSilent(boolean on) {
        silent = on;
        if (!on) {
            closeAll();
        }
    }

    /** Discards all bytes of the connections that are open now, which stay open; new ones are not affected. */
    public void muteOpenConnections() {
        muted.addAll(sockets);
    }

    /** Closes all connections and refuses new ones, or accepts connections again. */
    public synchronized void setRefusing(boolean on) throws IOException {
        if (on) {
            server.close();
            closeAll();
        } else if (server.isClosed()) {
            ServerSocket again = new ServerSocket();
            again.setReuseAddress(true);
            again.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 200);
            server = again;
            StandInHost.daemon(() -> accept(again));
        }
    }

    private void accept(ServerSocket listener) {
        while (!listener.isClosed()) {
            try {
                Socket client = listener.accept();
                connections.incrementAndGet();
                Socket upstream = new Socket(InetAddress.getByName("127.0.0.1"), target);
                client.setTcpNoDelay(true);
                upstream.setTcpNoDelay(true);
                sockets.add(client);
                sockets.add(upstream);
                StandInHost.daemon(() -> forward(client, upstream, false));
                StandInHost.daemon(() -> forward(upstream, client, true));
            } catch (IOException e) {
                // The listener is closed, or the server is not reachable.
            }
        }
    }

    private void forward(Socket from, Socket to, boolean toClient) {
        byte[] bytes = new byte[16 * 1024];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int n = in.read(bytes); n >= 0; n = in.read(bytes)) {
                if (silent || muted.contains(from)) {
                    continue;
                }
                if (toClient) {
                    long left = bytesUntilClose;
                    if (left >= 0 && n >= left) {
                        out.write(bytes, 0, (int) left);
                        bytesUntilClose = -1;
                        closeAll();
                        return;
                    }
                    bytesUntilClose = left < 0 ? -1 : left - n;
                    bytesToClients.addAndGet(n);
                }
                out.write(bytes, 0, n);
            }
        } catch (IOException e) {
            // One side has closed the connection; the other side is closed below.
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
            // The socket is closed regardless.
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
        closeAll();
    }
}
