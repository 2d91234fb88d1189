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

/** One client that speaks PostgreSQL's protocol. */
final class PgSession extends ClientSession {
    private static final int PROTOCOL_3 = 196608;
    private static final int CANCEL = 80877102;
    private static final int SSL = 80877103;
    private static final int GSS = 80877104;

    private final PgFront front;
    private boolean started;
    private boolean skipToSync;

    PgSession(PgFront front, Connection<?> connection) {
        super(front, connection, new PgFramer.OfClient());
        this.front = front;
    }

    @Override
    protected byte[] lastWords(String error) {
        return new PgWriter().error("FATAL", "08P01", error, null).bytes();
    }

    @Override
    protected byte[] noRoomWords() {
        return new PgWriter()
                .error("FATAL", "53300", "too many clients already", null)
                .bytes();
    }

    @Override
    protected void command(byte[] m) {
        if (!started) {
            startup(m);
            return;
        }
        char type = (char) m[0];
        if (skipToSync && type != 'S' && type != 'X') {
            return;
        }
        switch (type) {
            case 'Q' -> query(m);
            case 'X' -> close();
            case 'S' -> {
                skipToSync = false;
                write(new PgWriter().ready().bytes());
            }
            case 'P', 'B', 'D', 'E', 'C', 'F', 'H' -> {
                skipToSync = true;
                write(new PgWriter()
                        .error("ERROR", "0A000", "only simple queries are served", null)
                        .bytes());
            }
            default -> throw new ProtocolException("unknown message type " + (int) type);
        }
    }

    private void startup(byte[] m) {
        int code = ByteBuffer.wrap(m).getInt(4);
        if (code == SSL || code == GSS) {
            write(new PgWriter().raw(new byte[] {'N'}).bytes());
        } else if (code == CANCEL) {
            close();
        } else if (code >> 16 != PROTOCOL_3 >> 16) {
            throw new ProtocolException("unsupported protocol version " + (code >> 16) + "." + (code & 0xffff));
        } else {
            started = true;
            write(new PgWriter()
                    .message('R', 0)
                    .message('S', "server_version", "15.0")
                    .message('S', "client_encoding", "UTF8")
                    .message('S', "standard_conforming_strings", "on")
                    .ready()
                    .bytes());
        }
    }

    private void query(byte[] m) {
        if (m.length < 6 || m[m.length - 1] != 0) {
            throw new ProtocolException("a query without its end");
        }
        String text = PgStatement.text(m);
        String head = text.strip().toUpperCase(Locale.ROOT);
        if (head.isEmpty()) {
            write(new PgWriter().message('I').ready().bytes());
            return;
        }
        if (head.equals("SHOW COUNTERS")) {
            byte[] line = front.counters().getBytes(StandardCharsets.UTF_8);
            write(new PgWriter()
                    .message('T', '\0', '\1', "counters", 0, '\0', '\0', 25, '\377', '\377', -1, '\0', '\0')
                    .message('D', '\0', '\1', line.length, line)
                    .message('C', "SHOW")
                    .ready()
                    .bytes());
            return;
        }
        for (String word : new String[] {"SET", "RESET", "DISCARD"}) {
            if (head.startsWith(word + " ")) {
                write(new PgWriter().message('C', word).ready().bytes());
                return;
            }
        }
        ProxyRequest request;
        try {
            request = PgStatement.parse(text, front.rules());
        } catch (ProtocolException e) {
            front.malformed();
            write(new PgWriter()
                    .error("ERROR", "08P01", e.getMessage(), null)
                    .ready()
                    .bytes());
            return;
        }
        submit(request, answer -> write(words(answer)));
    }

    private static byte[] words(Response answer) {
        if (answer instanceof Response.Served a) {
            return new PgWriter().raw(a.body()).ready().bytes();
        }
        if (answer instanceof Response.Rejected a) {
            String comeBack = a.retryAfterMillis() > 0 ? Long.toString(a.retryAfterMillis()) : null;
            return new PgWriter()
                    .error("ERROR", "53300", "no room now, try again", comeBack)
                    .ready()
                    .bytes();
        }
        return new PgWriter()
                .error("ERROR", "58000", ((Response.Failed) answer).reason(), null)
                .ready()
                .bytes();
    }
}
