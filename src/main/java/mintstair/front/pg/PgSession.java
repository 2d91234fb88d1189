package mintstair.front.pg;

import java.nio.ByteBuffer;
import java.util.Locale;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.memory.Buffers;
import mintstair.request.Answer;
import mintstair.request.Exchange;
import mintstair.request.ProxyRequest;
import mintstair.wire.MessageFilter;
import mintstair.wire.PgFramer;
import mintstair.wire.PgWriter;
import mintstair.wire.ProtocolException;

/** One client connection: a command at a time, answered in order. All but reading is on the loop. */
final class PgSession implements MessageFilter.Listener {
    private static final int PROTOCOL_3 = 196608;
    private static final int CANCEL = 80877102;
    private static final int SSL = 80877103;
    private static final int GSS = 80877104;
    /** What a client may have sent ahead of its answers; one that goes on is not reading them. */
    private static final int MOST_PENDING = 2 * PgFramer.LONGEST;

    private final PgFront front;
    private final Connection<?> connection;
    private final PgFramer framer = new PgFramer(true);
    private boolean started;
    private boolean skipToSync;
    private boolean writing;
    private boolean closed;
    private boolean closing;
    private Exchange exchange;

    PgSession(PgFront front, Connection<?> connection) {
        this.front = front;
        this.connection = connection;
    }

    @Override
    public void read(ByteBuffer bytes) {
        front.loop.execute(() -> {
            if (!closed) {
                framer.feed(bytes);
                if (framer.pending() > MOST_PENDING) {
                    fatal("54000", "too much sent ahead");
                }
                goOn();
            }
        });
    }

    @Override
    public void closed() {
        front.loop.execute(() -> {
            closed = true;
            front.left(this);
            if (exchange != null) {
                front.dispatcher.clientGone(exchange);
            }
        });
    }

    /** Closes now, where no request is held, else after its answer. */
    void closeWhenIdle() {
        closing = true;
        goOn();
        if (exchange == null && !writing) {
            close();
        }
    }

    private void close() {
        closed = true;
        connection.closeSilently();
    }

    /** The next command is looked at when the answer to the last is written out: what does not read, waits. */
    private void goOn() {
        try {
            while (!closed && exchange == null && !writing) {
                byte[] m = framer.next();
                if (m == null) {
                    break;
                }
                command(m);
            }
        } catch (ProtocolException e) {
            front.counters.malformed++;
            fatal("08P01", e.getMessage());
        }
    }

    private void command(byte[] m) {
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
                write(new PgWriter().ready());
            }
            case 'P', 'B', 'D', 'E', 'C', 'F', 'H' -> {
                skipToSync = true;
                write(new PgWriter().error("ERROR", "0A000", "only simple queries are served", null));
            }
            default -> throw new ProtocolException("unknown message type " + (int) type);
        }
    }

    private void startup(byte[] m) {
        int code = ByteBuffer.wrap(m).getInt(4);
        if (code == SSL || code == GSS) {
            write(new PgWriter().raw(new byte[] {'N'}));
        } else if (code == CANCEL) {
            close();
        } else if (code >> 16 != PROTOCOL_3 >> 16) {
            throw new ProtocolException("unsupported protocol version " + (code >> 16) + "." + (code & 0xffff));
        } else {
            started = true;
            framer.expectStartup(false);
            write(new PgWriter().message('R', 0).message('S', "server_version", "15.0")
                .message('S', "client_encoding", "UTF8").message('S', "standard_conforming_strings", "on").ready());
        }
    }

    private void query(byte[] m) {
        if (m.length < 6 || m[m.length - 1] != 0) {
            throw new ProtocolException("a query without its end");
        }
        String text = PgStatement.text(m);
        String head = text.strip().toUpperCase(Locale.ROOT);
        if (head.isEmpty()) {
            front.whenReady(this, () -> write(new PgWriter().message('I').ready()));
            return;
        }
        for (String word : new String[] {"SET", "RESET", "DISCARD"}) {
            if (head.startsWith(word + " ")) {
                write(new PgWriter().message('C', word).ready());
                return;
            }
        }
        ProxyRequest request;
        try {
            request = PgStatement.parse(text);
            if (!front.dispatcher.knowsClass(request.requestClass())) {
                throw new ProtocolException("unknown class " + request.requestClass());
            }
            if (!front.knowsCluster(request.cluster())) {
                throw new ProtocolException("unknown cluster " + request.cluster());
            }
        } catch (ProtocolException e) {
            front.counters.malformed++;
            write(new PgWriter().error("ERROR", "08P01", e.getMessage(), null).ready());
            return;
        }
        boolean[] answered = new boolean[1];
        Exchange submitted = front.dispatcher.submit(request, answer -> {
            answered[0] = true;
            exchange = null;
            write(words(answer));
        });
        if (!answered[0]) {
            exchange = submitted;
        }
    }

    private static PgWriter words(Answer answer) {
        if (answer instanceof Answer.Served a) {
            return new PgWriter().raw(a.body()).ready();
        }
        if (answer instanceof Answer.Refused a) {
            String comeBack = a.comeBackMillis() > 0 ? Long.toString(a.comeBackMillis()) : null;
            return new PgWriter().error("ERROR", "53300", "no room now, try again", comeBack).ready();
        }
        return new PgWriter().error("ERROR", "58000", ((Answer.Failed) answer).reason(), null).ready();
    }

    private void fatal(String code, String text) {
        write(new PgWriter().error("FATAL", code, text, null));
        closing = true;
    }

    @SuppressWarnings({"unchecked", "rawtypes"})
    private void write(PgWriter words) {
        if (closed) {
            return;
        }
        writing = true;
        ((Connection) connection).write(Buffers.wrap(front.transport.getMemoryManager(), words.bytes()),
            new EmptyCompletionHandler<WriteResult>() {
                @Override
                public void completed(WriteResult result) {
                    front.loop.execute(() -> written());
                }

                @Override
                public void failed(Throwable why) {
                    connection.closeSilently();
                }
            });
    }

    private void written() {
        writing = false;
        if (closing && exchange == null && framer.pending() == 0) {
            close();
        } else {
            goOn();
        }
    }
}
