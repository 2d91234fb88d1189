package mintstair.standin;

import java.io.Closeable;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import mintstair.wire.MongoMessage;
import mintstair.wire.PgWriter;
import org.bson.BsonArray;
import org.bson.BsonDocument;
import org.bson.BsonInt64;
import org.bson.BsonString;

/** A client of either protocol, which tells its answers in the same words. */
public abstract class Client implements Closeable {
    public final Socket socket;
    public final DataInputStream in;

    Client(int port) throws IOException {
        socket = new Socket(InetAddress.getByName("127.0.0.1"), port);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(20_000);
        in = new DataInputStream(socket.getInputStream());
    }

    /** Sends a request and does not wait; {@code comment} holds id, c, cluster and what else there is. */
    public abstract void send(boolean write, String comment, int deadline) throws IOException;

    /** The next answer: "served X", "refused N" or "failed". */
    public abstract String answer() throws IOException;

    public final String ask(boolean write, String comment, int deadline) throws IOException {
        send(write, comment, deadline);
        return answer();
    }

    public final void raw(byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
    }

    @Override
    public final void close() throws IOException {
        socket.close();
    }

    /** Speaks PostgreSQL's protocol. */
    public static final class Pg extends Client {
        public String code = "";

        public Pg(int port) throws IOException {
            super(port);
            raw(startup());
            answer();
        }

        /** Connects and says nothing yet. */
        public Pg(int port, boolean quiet) throws IOException {
            super(port);
        }

        public static byte[] startup() {
            return new PgWriter()
                    .packet(196608, "user", "web", "database", "orders", "")
                    .bytes();
        }

        public static byte[] query(String text) {
            return new PgWriter().message('Q', text).bytes();
        }

        public static String words(boolean write, String comment, int deadline) {
            return (write
                            ? "INSERT INTO entries (ref, payload) VALUES ('7f', '\\x9f') RETURNING payload"
                            : "SELECT payload FROM entries WHERE ref = '7f'")
                    + " /* " + comment + ",d=" + deadline + " */";
        }

        @Override
        public void send(boolean write, String comment, int deadline) throws IOException {
            raw(query(words(write, comment, deadline)));
        }

        /** Reads up to the next ReadyForQuery, or the end after an error. */
        @Override
        public String answer() throws IOException {
            String answer = "nothing";
            for (int type = in.read(); type >= 0; type = in.read()) {
                byte[] m = in.readNBytes(in.readInt() - 4);
                if (type == 'Z') {
                    break;
                }
                if (type == 'D') {
                    answer = "served " + new String(m, 6, m.length - 6, StandardCharsets.UTF_8);
                } else if (type == 'I') {
                    answer = "empty";
                } else if (type == 'E') {
                    String text = new String(m, StandardCharsets.UTF_8);
                    code = text.replaceAll("(?s).*\0C([^\0]*).*", "$1");
                    boolean refused = code.equals("53300") || code.equals("57P03");
                    answer = refused
                            ? "refused " + (text.contains("\0D") ? text.replaceAll("(?s).*\0D(\\d+).*", "$1") : 0)
                            : "failed";
                }
            }
            return answer;
        }
    }

    /** Speaks MongoDB's protocol. */
    public static final class Mongo extends Client {
        public BsonDocument last;

        public Mongo(int port) throws IOException {
            super(port);
        }

        public BsonDocument command(BsonDocument command) throws IOException {
            raw(MongoMessage.opMsg(command.append("$db", new BsonString("orders")), 0));
            return read();
        }

        public BsonDocument read() throws IOException {
            last = MongoHost.read(in).body();
            return last;
        }

        @Override
        public void send(boolean write, String comment, int deadline) throws IOException {
            BsonDocument entry = new BsonDocument("ref", new BsonString("7f"));
            BsonDocument command = write
                    ? new BsonDocument("insert", new BsonString("e")).append("documents", new BsonArray(List.of(entry)))
                    : new BsonDocument("find", new BsonString("e")).append("filter", entry);
            raw(MongoMessage.opMsg(
                    command.append("comment", new BsonString(comment + ",session=7f"))
                            .append("maxTimeMS", new BsonInt64(deadline))
                            .append("$db", new BsonString("orders")),
                    0));
        }

        @Override
        public String answer() throws IOException {
            last = MongoHost.read(in).body();
            if (last.getNumber("ok").intValue() == 1) {
                return "served "
                        + (last.containsKey("cursor")
                                        ? last.getDocument("cursor")
                                                .getArray("firstBatch")
                                                .get(0)
                                                .asDocument()
                                        : last)
                                .getString("id")
                                .getValue();
            }
            return last.getNumber("code").intValue() == 462
                    ? "refused "
                            + last.getNumber("retryAfterMS", new BsonInt64(0)).intValue()
                    : "failed";
        }
    }
}
