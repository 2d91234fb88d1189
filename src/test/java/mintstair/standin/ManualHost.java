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

/** A database host with the PostgreSQL protocol that takes each step when the test calls the method for it. */
public final class ManualHost implements AutoCloseable {
    private final ServerSocket server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
    private final List<DataInputStream> inputs = new ArrayList<>();
    private final List<Socket> sockets = new ArrayList<>();

    public ManualHost() throws IOException {
        server.setSoTimeout(20_000);
    }

    public int port() {
        return server.getLocalPort();
    }

    /** Accepts one connection and sends nothing on it. */
    public void accept() throws IOException {
        Socket socket = server.accept();
        socket.setSoTimeout(20_000);
        socket.setTcpNoDelay(true);
        sockets.add(socket);
        inputs.add(new DataInputStream(socket.getInputStream()));
    }

    /** Reads the startup message of connection n, counted from 0, and replies to it. */
    public void completeStartup(int n) throws IOException {
        readStartup(n);
        answerStartup(n);
    }

    /** Reads the startup message of connection n. */
    public void readStartup(int n) throws IOException {
        inputs.get(n).readNBytes(inputs.get(n).readInt() - 4);
    }

    /** Replies to the startup message of connection n. */
    public void answerStartup(int n) throws IOException {
        send(n, new PgWriter().message('R', 0).ready().bytes());
    }

    /** Reads the next statement on connection n. */
    public String readStatement(int n) throws IOException {
        inputs.get(n).readByte();
        byte[] text = inputs.get(n).readNBytes(inputs.get(n).readInt() - 4);
        return new String(text, StandardCharsets.UTF_8);
    }

    /** Sends these bytes on connection n. */
    public void send(int n, byte[] bytes) throws IOException {
        sockets.get(n).getOutputStream().write(bytes);
    }

    /** Closes connection n, with a reset or in order. */
    public void closeConnection(int n, boolean reset) throws IOException {
        if (reset) {
            sockets.get(n).setSoLinger(true, 0);
        }
        sockets.get(n).close();
    }

    /** Returns the reply of a primary with this value. */
    public static byte[] reply(String value) {
        return reply(value, "source");
    }

    /** Returns a reply with this value of a host that reports this rank. */
    public static byte[] reply(String value, String rank) {
        return row(value)
                .message('C', "SELECT 1")
                .message('S', "rank", rank)
                .ready()
                .bytes();
    }

    /** Returns the beginning of a reply: the description and the row with this value. */
    public static PgWriter row(String value) {
        byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
        return new PgWriter()
                .message('T', '\0', '\1', "payload", 0, '\0', '\0', 17, '\0', '\4', -1, '\0', '\1')
                .message('D', '\0', '\1', bytes.length, bytes);
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
