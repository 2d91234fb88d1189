import java.io.Closeable;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;

/** One connection of a client. */
public final class PgClient implements Closeable {
    public final Socket socket;
    private final DataInputStream in;

    public PgClient(int port) throws IOException {
        socket = new Socket(InetAddress.getByName("127.0.0.1"), port);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(30_000);
        in = new DataInputStream(new java.io.BufferedInputStream(socket.getInputStream()));
        send(Pg.startup());
        answer();
    }

    public void send(byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
    }

    /** Reads up to the next ReadyForQuery: "served N bytes", "refused CODE", "failed CODE", or "end" without an answer. */
    public String answer() throws IOException {
        return answer(in);
    }

    /** Reads the next answer from a stream. */
    public static String answer(DataInputStream in) throws IOException {
        String answer = null;
        for (byte[] message = Pg.read(in); message != null; message = Pg.read(in)) {
            switch (message[0]) {
                case 'Z' -> {
                    return answer == null ? "ready" : answer;
                }
                case 'D' -> answer = "served " + (message.length - 7) + " bytes";
                case 'I' -> answer = "empty";
                case 'E' -> {
                    String code = Pg.code(message);
                    answer = (code.equals("53300") || code.equals("57P03") ? "refused " : "failed ") + code;
                }
                default -> {}
            }
        }
        // No ReadyForQuery is needed after a fatal error.
        return answer != null && !answer.startsWith("served") ? answer : "end";
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
