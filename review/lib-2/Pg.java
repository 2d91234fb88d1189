import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A client and a db host of the platform's protocol: version 3 of PostgreSQL's, simple queries, no password. */
final class Pg {
    private Pg() {}

    static byte[] message(char type, byte[]... parts) {
        int length = 4;
        for (byte[] part : parts) {
            length += part.length;
        }
        ByteArrayOutputStream out = new ByteArrayOutputStream(length + 1);
        out.write(type);
        for (int shift = 24; shift >= 0; shift -= 8) {
            out.write(length >> shift);
        }
        for (byte[] part : parts) {
            out.writeBytes(part);
        }
        return out.toByteArray();
    }

    static byte[] text(String value) {
        return (value + "\0").getBytes(StandardCharsets.ISO_8859_1);
    }

    private static byte[] int32(int value) {
        return new byte[] {(byte) (value >> 24), (byte) (value >> 16), (byte) (value >> 8), (byte) value};
    }

    private static final byte[] READY = message('Z', new byte[] {'I'});

    /** The end of one request as its client saw it. */
    record Answer(String kind, String value, long millis) {}

    /** One connection of a client. */
    static final class Client implements AutoCloseable {
        final Socket socket = new Socket();
        private final DataInputStream in;

        Client(int port) throws IOException {
            socket.connect(new InetSocketAddress("127.0.0.1", port), 3000);
            socket.setTcpNoDelay(true);
            in = new DataInputStream(new java.io.BufferedInputStream(socket.getInputStream()));
            byte[] body = concat(int32(196608), text("user"), text("web"), text("database"), text("orders"), new byte[1]);
            socket.getOutputStream().write(concat(int32(body.length + 4), body));
            socket.setSoTimeout(10_000);
            awaitReady();
        }

        static byte[] concat(byte[]... parts) {
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            for (byte[] part : parts) {
                out.writeBytes(part);
            }
            return out.toByteArray();
        }

        private void awaitReady() throws IOException {
            for (int type = in.readUnsignedByte(); ; type = in.readUnsignedByte()) {
                in.readNBytes(in.readInt() - 4);
                if (type == 'Z') {
                    return;
                }
            }
        }

        DataInputStream in() {
            return in;
        }

        /** Sends a statement; a time-out of the read counts from its last byte. */
        Answer ask(String statement, int waitMillis) {
            long sent = System.nanoTime();
            try {
                byte[] query = message('Q', text(statement));
                socket.getOutputStream().write(query);
                sent = System.nanoTime();
                socket.setSoTimeout(waitMillis);
                String kind = "none";
                String value = "";
                while (true) {
                    int type = in.readUnsignedByte();
                    byte[] body = Rig.readFully(in, in.readInt() - 4);
                    if (type == 'D') {
                        value = new String(body, 6, body.length - 6, StandardCharsets.ISO_8859_1);
                    } else if (type == 'C') {
                        kind = "served";
                    } else if (type == 'E') {
                        value = new String(body, StandardCharsets.ISO_8859_1).replace('\0', '|');
                        kind = value.contains("|C53300|") || value.startsWith("C53300|") || value.contains("C57P03|")
                                ? "refused"
                                : "failed";
                        if (value.startsWith("SFATAL")) {
                            return new Answer(kind, value, millisSince(sent));
                        }
                    } else if (type == 'Z') {
                        return new Answer(kind, value, millisSince(sent));
                    }
                }
            } catch (java.net.SocketTimeoutException e) {
                return new Answer("no answer", "", millisSince(sent));
            } catch (IOException e) {
                return new Answer("connection ended", String.valueOf(e.getMessage()), millisSince(sent));
            }
        }

        private static long millisSince(long nanos) {
            return (System.nanoTime() - nanos) / 1_000_000;
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** A db host. What it does with a query is up to its handler. */
    static final class Host {
        private static final Pattern ID = Pattern.compile("[ *]id=([^, ]*),");

        /** Decides on one query, after it has come in whole. */
        interface Handler {
            /** Returns the value to answer with; null to end the connection without an answer. */
            String serve(Host host, String id, String statement) throws Exception;
        }

        final String name;
        final int port;
        volatile boolean primary;
        /** The age of the data of a replica, in milliseconds. */
        volatile long lagMillis;

        /** Whether the host is cut off from the proxy: what comes in stays unanswered. */
        volatile boolean silent;
        /** When it first told the proxy that it is a replica; 0 before. */
        volatile long copyToldMillis;

        /** Where the data of a former primary stands still; 0 if it does not. */
        private long stoppedAtMillis;
        private final ServerSocket server;
        private final Handler handler;

        /** The time up to which the host has applied all commits: that of a primary is the present. */
        synchronized long positionMillis() {
            if (!primary && stoppedAtMillis > 0) {
                return stoppedAtMillis;
            }
            return System.currentTimeMillis() - (primary ? 0 : lagMillis);
        }

        /** Gives up the role of the primary, and gets no log from its successor. */
        synchronized void stepDown() {
            stoppedAtMillis = System.currentTimeMillis();
            primary = false;
        }

        private void awaitHeard() throws InterruptedException {
            while (silent) {
                Thread.sleep(20);
            }
        }

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
            in.readNBytes(in.readInt() - 4);
            awaitHeard();
            out.write(Client.concat(message('R', int32(0)), READY));
            for (int type = in.read(); type == 'Q'; type = in.read()) {
                byte[] query = Rig.readFully(in, in.readInt() - 4);
                String statement = new String(query, 0, query.length - 1, StandardCharsets.ISO_8859_1);
                awaitHeard();
                if (statement.equals("SHOW vitals")) {
                    String report = "x0=" + positionMillis() / 1e3 + ",x1=" + (primary ? 1 : 0)
                            + ",inflight=0,util=0.1";
                    out.write(Client.concat(row(report.getBytes(StandardCharsets.ISO_8859_1)), READY));
                    continue;
                }
                if (statement.isBlank()) {
                    out.write(Client.concat(message('I'), READY));
                    continue;
                }
                Matcher id = ID.matcher(statement);
                boolean write = statement.startsWith("INSERT");
                byte[] answer;
                long position = positionMillis();
                if (write && !primary) {
                    answer = message('E', text("SERROR"), text("C25006"), text("Mno primary"), new byte[1]);
                } else {
                    String value = handler.serve(this, id.find() ? id.group(1) : "?", statement);
                    if (value == null) {
                        return;
                    }
                    if (write) {
                        position = positionMillis();
                    }
                    answer = write && !primary
                            ? message('E', text("SERROR"), text("CXX000"), text("Mno primary any more"), new byte[1])
                            : row(value.getBytes(StandardCharsets.ISO_8859_1));
                }
                boolean source = primary;
                out.write(Client.concat(
                        answer,
                        message('S', text("rank"), text(source ? "source" : "copy")),
                        message('S', text("as_of"), text(Long.toString(position))),
                        READY));
                if (!source && copyToldMillis == 0) {
                    copyToldMillis = System.currentTimeMillis();
                }
            }
        }

        private static byte[] row(byte[] value) {
            return Client.concat(
                    message('T', new byte[] {0, 1}, text("payload"), int32(0), new byte[] {0, 0}, int32(17), new byte[] {0, 4}, int32(-1), new byte[] {0, 1}),
                    message('D', new byte[] {0, 1}, int32(value.length), value),
                    message('C', text("SELECT 1")));
        }
    }
}
