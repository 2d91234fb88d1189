import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import mintstair.wire.MongoMessage;
import org.bson.BsonArray;
import org.bson.BsonBoolean;
import org.bson.BsonDateTime;
import org.bson.BsonDocument;
import org.bson.BsonInt32;
import org.bson.BsonInt64;
import org.bson.BsonString;

/** A client and a host of MongoDB's wire protocol, OP_MSG alone. */
final class Mongo {
    private Mongo() {}

    static MongoMessage read(DataInputStream in) throws IOException {
        byte[] head = Rig.readFully(in, 4);
        int length = (head[0] & 255) | (head[1] & 255) << 8 | (head[2] & 255) << 16 | (head[3] & 255) << 24;
        byte[] whole = new byte[length];
        System.arraycopy(head, 0, whole, 0, 4);
        System.arraycopy(Rig.readFully(in, length - 4), 0, whole, 4, length - 4);
        return MongoMessage.parse(whole);
    }

    /** One connection of a client. */
    static final class Client implements AutoCloseable {
        final Socket socket = new Socket();
        private final DataInputStream in;

        Client(int port) throws IOException {
            socket.connect(new InetSocketAddress("127.0.0.1", port), 1000);
            socket.setTcpNoDelay(true);
            in = new DataInputStream(new java.io.BufferedInputStream(socket.getInputStream()));
        }

        BsonDocument ask(BsonDocument command, int waitMillis) throws IOException {
            socket.setSoTimeout(waitMillis);
            socket.getOutputStream().write(MongoMessage.opMsg(command, 0));
            return read(in).body();
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    static BsonDocument insert(String id, int group, long maxMillis) {
        return new BsonDocument("insert", new BsonString("moves"))
                .append("documents", new BsonArray(List.of(new BsonDocument("_id", new BsonString(id)))))
                .append("comment", new BsonString("id=" + id + ",c=move-write,cluster=" + group))
                .append("maxTimeMS", new BsonInt64(maxMillis))
                .append("$db", new BsonString("orders"));
    }

    static String id(BsonDocument command) {
        return command.isString("comment") ? command.getString("comment").getValue().replaceAll("^id=([^,]*).*", "$1") : "";
    }

    /** A host. What it does with a command other than hello is up to its handler. */
    static final class Host {
        interface Handler {
            /** Returns the answer without the host's report; null to end the connection. */
            BsonDocument serve(Host host, BsonDocument command) throws Exception;
        }

        final String name;
        final int port;
        volatile boolean primary;
        volatile long lagMillis;
        private final ServerSocket server;
        private final Handler handler;

        Host(String name, boolean primary, Handler handler) throws IOException {
            this.name = name;
            this.primary = primary;
            this.handler = handler;
            server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
            port = server.getLocalPort();
            Rig.daemon(this::accept);
        }

        private void accept() {
            while (true) {
                try {
                    Socket socket = server.accept();
                    socket.setTcpNoDelay(true);
                    Rig.daemon(() -> {
                        try (socket) {
                            serve(socket);
                        } catch (Exception e) {
                            // The proxy has closed the connection.
                        }
                    });
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket socket) throws Exception {
            DataInputStream in = new DataInputStream(new java.io.BufferedInputStream(socket.getInputStream()));
            OutputStream out = socket.getOutputStream();
            while (true) {
                MongoMessage request = read(in);
                BsonDocument command = request.body();
                BsonDocument reply;
                if (command.containsKey("hello")) {
                    long now = System.currentTimeMillis();
                    reply = new BsonDocument("ok", new BsonInt32(1))
                            .append("isWritablePrimary", BsonBoolean.valueOf(primary))
                            .append("lastWrite", new BsonDocument("lastWriteDate", new BsonDateTime(now - lagMillis)))
                            .append("localTime", new BsonDateTime(now));
                } else if (command.containsKey("insert") && !primary) {
                    reply = new BsonDocument("ok", new BsonInt32(0))
                            .append("code", new BsonInt32(10107))
                            .append("errmsg", new BsonString("not primary"));
                } else {
                    reply = handler.serve(this, command);
                }
                if (reply == null) {
                    return;
                }
                out.write(MongoMessage.opMsg(reply, request.requestId()));
            }
        }
    }
}
