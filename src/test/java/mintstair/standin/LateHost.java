package mintstair.standin;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import mintstair.wire.PgWriter;

/** A db host of PostgreSQL's protocol that does each step when the test says so. */
public final class LateHost implements AutoCloseable {
    private final ServerSocket server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
    private final List<DataInputStream> ins = new ArrayList<>();
    private final List<Socket> sockets = new ArrayList<>();

    public LateHost() throws IOException {
        server.setSoTimeout(20_000);
    }

    public int port() {
        return server.getLocalPort();
    }

    /** Takes one connection and says nothing on it. */
    public void accept() throws IOException {
        Socket socket = server.accept();
        socket.setSoTimeout(20_000);
        socket.setTcpNoDelay(true);
        sockets.add(socket);
        ins.add(new DataInputStream(socket.getInputStream()));
    }

    /** Greets on the n-th. */
    public void greet(int n) throws IOException {
        hear(n);
        welcome(n);
    }

    /** Waits for the greeting of the other side on the n-th. */
    public void hear(int n) throws IOException {
        ins.get(n).readNBytes(ins.get(n).readInt() - 4);
    }

    /** Answers that greeting. */
    public void welcome(int n) throws IOException {
        say(n, new PgWriter().message('R', 0).ready().bytes());
    }

    /** The next statement that comes on the n-th. */
    public String statement(int n) throws IOException {
        ins.get(n).readByte();
        byte[] text = ins.get(n).readNBytes(ins.get(n).readInt() - 4);
        return new String(text, StandardCharsets.UTF_8);
    }

    /** Says these bytes on the n-th, whatever they are. */
    public void say(int n, byte[] bytes) throws IOException {
        sockets.get(n).getOutputStream().write(bytes);
    }

    /** Ends the n-th; with {@code reset} by a reset, else by an orderly end. */
    public void end(int n, boolean reset) throws IOException {
        if (reset) {
            sockets.get(n).setSoLinger(true, 0);
        }
        sockets.get(n).close();
    }

    /** An answer with this value, from a primary. */
    public static byte[] answer(String value) {
        byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
        return new PgWriter()
                .message('T', '\0', '\1', "payload", 0, '\0', '\0', 17, '\0', '\4', -1, '\0', '\1')
                .message('D', '\0', '\1', bytes.length, bytes)
                .message('C', "SELECT 1")
                .message('S', "rank", "source")
                .ready()
                .bytes();
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
