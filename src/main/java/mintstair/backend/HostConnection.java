package mintstair.backend;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.nio.transport.TCPNIOConnectorHandler;
import mintstair.request.ConnectionEnd;
import mintstair.request.Reply;
import mintstair.wire.Framer;
import mintstair.wire.MessageFilter;
import mintstair.wire.ProtocolException;

/** One connection to a db host: it greets, then carries one call at a time. All but reading is on the loop. */
final class HostConnection implements MessageFilter.Listener {
    private enum State { OPENING, IDLE, BUSY, CLOSED }

    private final HostPool pool;
    private final Backends backends;
    private final Framer framer;
    private final Protocol.Parser parser;
    private State state = State.OPENING;
    private Connection<?> connection;
    private Call call;
    private volatile boolean written;
    long idleSince;

    HostConnection(HostPool pool, Backends backends) {
        this.pool = pool;
        this.backends = backends;
        framer = backends.protocol.newFramer();
        parser = backends.protocol.newParser();
    }

    void open(InetSocketAddress to) {
        backends.connector.connect(to, new EmptyCompletionHandler<Connection>() {
            @Override
            public void completed(Connection made) {
                backends.filter.listen(made, HostConnection.this);
                backends.loop.execute(() -> connected(made));
            }

            @Override
            public void failed(Throwable why) {
                backends.loop.execute(() -> broken());
            }
        });
        // A machine that vanished leaves a connection that neither comes up nor fails.
        backends.loop.at(backends.loop.now() + backends.connectTimeout, () -> {
            if (state == State.OPENING) {
                close();
                pool.openingFailed(this, ConnectionEnd.CONNECT_TIMEOUT);
            }
        });
    }

    private void connected(Connection<?> made) {
        connection = made;
        if (state == State.CLOSED) {
            made.closeSilently();
            return;
        }
        write(backends.protocol.greeting());
    }

    /** Sends a call; it is the only one until its reply is whole. */
    void send(Call next, long now) {
        state = State.BUSY;
        call = next;
        next.connection = this;
        written = false;
        write(next.words.apply(Math.max(1, (next.until - now) / 1000)));
    }

    @SuppressWarnings({"unchecked", "rawtypes"})
    private void write(byte[] bytes) {
        Buffer buffer = Buffers.wrap(backends.transport.getMemoryManager(), bytes);
        ((Connection) connection).write(buffer, new EmptyCompletionHandler<WriteResult>() {
            @Override
            public void completed(WriteResult result) {
                written = true;
            }
        });
    }

    boolean isIdle() {
        return state == State.IDLE;
    }

    void close() {
        state = State.CLOSED;
        if (connection != null) {
            connection.closeSilently();
        }
    }

    /** The call that holds this connection is not waited for: the host learns of it by the close. */
    void abandon() {
        call = null;
        close();
        pool.closed(this);
    }

    @Override
    public void read(ByteBuffer bytes) {
        backends.loop.execute(() -> take(bytes));
    }

    @Override
    public void closed() {
        backends.loop.execute(this::broken);
    }

    private void take(ByteBuffer bytes) {
        if (state == State.CLOSED) {
            return;
        }
        try {
            framer.feed(bytes);
            for (byte[] m = framer.next(); m != null && state != State.CLOSED; m = framer.next()) {
                Reply reply = parser.take(m);
                if (reply != null) {
                    replied(reply);
                }
            }
        } catch (ProtocolException e) {
            System.err.println("host " + pool.name + ": " + e.getMessage());
            ended(ConnectionEnd.GARBLED);
        }
    }

    private void replied(Reply reply) {
        boolean greeted = state == State.OPENING;
        Call over = call;
        call = null;
        if (state == State.IDLE || greeted && reply.end() == ConnectionEnd.TURNED_AWAY) {
            ended(ConnectionEnd.TURNED_AWAY);
            return;
        }
        state = State.IDLE;
        idleSince = backends.loop.now();
        if (greeted) {
            pool.opened(this);
        } else {
            pool.freed(this);
        }
        if (over != null) {
            over.end(over.probe && reply.end() == ConnectionEnd.SERVED
                ? new Reply(reply.end(), null, backends.protocol.report(reply.body())) : reply);
        }
    }

    private void broken() {
        if (state != State.CLOSED) {
            Reply last = state == State.BUSY ? parser.atEnd() : null;
            if (last != null) {
                Call over = call;
                call = null;
                close();
                pool.closed(this);
                over.end(last);
            } else {
                ended(written || state == State.OPENING ? ConnectionEnd.BROKEN_AFTER_WRITTEN
                    : ConnectionEnd.BROKEN_BEFORE_WRITTEN);
            }
        }
    }

    private void ended(ConnectionEnd why) {
        boolean opening = state == State.OPENING;
        Call over = call;
        call = null;
        close();
        if (opening) {
            pool.openingFailed(this, why == ConnectionEnd.TURNED_AWAY ? why : ConnectionEnd.CONNECT_FAILED);
        } else {
            pool.closed(this);
            if (over != null) {
                over.end(Reply.of(why));
            }
        }
    }
}
