package mintstair.front.pg;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import mintstair.front.ClientSession;
import mintstair.request.ProxyRequest;
import mintstair.request.Response;
import mintstair.wire.PgFramer;
import mintstair.wire.PgWriter;
import mintstair.wire.ProtocolException;
import org.glassfish.grizzly.Connection;

/** The session of one client that uses the PostgreSQL protocol. */
final class PgSession extends ClientSession {
    /** The protocol version in a start-up packet; its upper 16 bits are the major version. */
    private static final int PROTOCOL_3 = 196608;

    private static final int CANCEL_REQUEST = 80877102;
    private static final int SSL_REQUEST = 80877103;
    private static final int GSS_ENCRYPTION_REQUEST = 80877104;
    private static final int STARTUP_CODE_OFFSET = 4;

    /** The number of times that a request in flight holds its message: as a statement and as encoded for a host. */
    private static final long COPIES_IN_FLIGHT = 2;

    private static final String[] NO_OP_COMMANDS = {"SET", "RESET", "DISCARD"};

    private final PgFront front;
    private boolean startupDone;
    /** Whether messages up to the next Sync are ignored, after an error in the extended query protocol. */
    private boolean ignoringUntilSync;

    PgSession(PgFront front, Connection<?> connection) {
        super(front, connection, new PgFramer.ClientMessageFramer());
        this.front = front;
    }

    @Override
    protected byte[] protocolErrorMessage(String error) {
        return new PgWriter().error("FATAL", "08P01", error, null).bytes();
    }

    @Override
    protected byte[] tooManyClientsMessage() {
        return new PgWriter()
                .error("FATAL", "53300", "too many clients already", null)
                .bytes();
    }

    @Override
    protected void runCommand(byte[] message) {
        if (!startupDone) {
            startup(message);
            return;
        }
        char type = (char) message[0];
        if (ignoringUntilSync && type != 'S' && type != 'X') {
            return;
        }
        switch (type) {
            case 'Q' -> query(message);
            case 'X' -> close();
            case 'S' -> {
                ignoringUntilSync = false;
                write(new PgWriter().ready().bytes());
            }
            case 'P', 'B', 'D', 'E', 'C', 'F', 'H' -> {
                ignoringUntilSync = true;
                write(new PgWriter()
                        .error("ERROR", "0A000", "only simple queries are served", null)
                        .bytes());
            }
            default -> throw new ProtocolException("unknown message type " + (int) type);
        }
    }

    private void startup(byte[] packet) {
        int code = ByteBuffer.wrap(packet).getInt(STARTUP_CODE_OFFSET);
        if (code == SSL_REQUEST || code == GSS_ENCRYPTION_REQUEST) {
            write(new PgWriter().raw(new byte[] {'N'}).bytes());
        } else if (code == CANCEL_REQUEST) {
            close();
        } else if (code >> 16 != PROTOCOL_3 >> 16) {
            throw new ProtocolException("unsupported protocol version " + (code >> 16) + "." + (code & 0xffff));
        } else {
            startupDone = true;
            write(new PgWriter()
                    .message('R', 0)
                    .message('S', "server_version", "15.0")
                    .message('S', "client_encoding", "UTF8")
                    .message('S', "standard_conforming_strings", "on")
                    .ready()
                    .bytes());
        }
    }

    private void query(byte[] message) {
        if (message.length < 6 || message[message.length - 1] != 0) {
            throw new ProtocolException("a query without its end");
        }
        String text = PgStatement.queryText(message);
        String upperCase = text.strip().toUpperCase(Locale.ROOT);
        if (upperCase.isEmpty()) {
            write(new PgWriter().message('I').ready().bytes());
            return;
        }
        if (upperCase.equals("SHOW COUNTERS")) {
            showCounters();
            return;
        }
        String noOp = noOpCommand(upperCase);
        if (noOp != null) {
            write(new PgWriter().message('C', noOp).ready().bytes());
            return;
        }
        submitStatement(text, message.length);
    }

    private void showCounters() {
        byte[] line = front.counters().getBytes(StandardCharsets.UTF_8);
        write(new PgWriter()
                .message('T', '\0', '\1', "counters", 0, '\0', '\0', 25, '\377', '\377', -1, '\0', '\0')
                .message('D', '\0', '\1', line.length, line)
                .message('C', "SHOW")
                .ready()
                .bytes());
    }

    /** Returns the command of a query that is acknowledged without effect for drivers; null for any other query. */
    private static String noOpCommand(String upperCase) {
        for (String command : NO_OP_COMMANDS) {
            if (upperCase.startsWith(command + " ")) {
                return command;
            }
        }
        return null;
    }

    private void submitStatement(String text, int messageLength) {
        ProxyRequest request;
        try {
            request = PgStatement.parse(text, front.rules());
        } catch (ProtocolException e) {
            front.countMalformed();
            write(new PgWriter()
                    .error("ERROR", "08P01", e.getMessage(), null)
                    .ready()
                    .bytes());
            return;
        }
        submit(request, COPIES_IN_FLIGHT * messageLength, response -> write(encode(response)));
    }

    private static byte[] encode(Response response) {
        PgWriter writer = new PgWriter();
        if (response instanceof Response.Served served) {
            writer.raw(served.body());
        } else if (response instanceof Response.Rejected rejected) {
            String retryAfter = rejected.retryAfterMillis() > 0 ? Long.toString(rejected.retryAfterMillis()) : null;
            writer.error("ERROR", "53300", "no room now, try again", retryAfter);
        } else {
            writer.error("ERROR", "58000", ((Response.Failed) response).reason(), null);
        }
        return writer.ready().bytes();
    }
}
