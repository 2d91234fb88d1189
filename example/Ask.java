import java.io.DataInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Asks the proxy on 127.0.0.1:5433 (or another port, as the one argument) a few things and prints the answers. */
public final class Ask {
    private Ask() {}

    /** Asks its few things. */
    public static void main(String[] args) throws IOException {
        int port = args.length > 0 ? Integer.parseInt(args[0]) : 5433;
        try (Socket socket = new Socket("127.0.0.1", port)) {
            DataInputStream in = new DataInputStream(socket.getInputStream());
            byte[] startup = "\0\3\0\0user\0web\0database\0orders\0\0".getBytes(StandardCharsets.UTF_8);
            socket.getOutputStream()
                    .write(ByteBuffer.allocate(4 + startup.length)
                            .putInt(4 + startup.length)
                            .put(startup)
                            .array());
            answer(in);
            long now = System.currentTimeMillis();
            for (String query : new String[] {
                "INSERT INTO entries (ref, payload) VALUES ('ann', 'e4') RETURNING payload /* id=1,c=move-write,d=2000,cluster=1 */",
                "SELECT payload FROM entries WHERE ref = 'ann' /* id=2,c=own-move-read,d=750,cluster=1,after=" + now
                        + " */",
                "SELECT payload FROM entries WHERE ref = 'ann' /* id=3,c=lobby-read,d=1000,cluster=1 */",
                "SELECT payload FROM entries WHERE ref = 'bob' /* id=4,c=season-report,d=15000,cluster=1 */",
                "SHOW counters"
            }) {
                byte[] text = query.getBytes(StandardCharsets.UTF_8);
                socket.getOutputStream()
                        .write(ByteBuffer.allocate(6 + text.length)
                                .put((byte) 'Q')
                                .putInt(5 + text.length)
                                .put(text)
                                .put((byte) 0)
                                .array());
                System.out.println(query + "\n  " + answer(in));
            }
        }
    }

    private static String answer(DataInputStream in) throws IOException {
        String answer = "";
        for (int type = in.read(); type >= 0; type = in.read()) {
            byte[] body = in.readNBytes(in.readInt() - 4);
            if (type == 'D') {
                answer = new String(body, 6, body.length - 6, StandardCharsets.UTF_8);
            } else if (type == 'E') {
                answer = "error: " + new String(body, StandardCharsets.UTF_8).replace('\0', ' ');
            } else if (type == 'Z') {
                break;
            }
        }
        return answer;
    }
}
