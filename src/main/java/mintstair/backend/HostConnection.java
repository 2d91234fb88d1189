package mintstair.backend;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import mintstair.request.ConnectionEnd;
import mintstair.request.HostReply;
import mintstair.wire.Framer;
import mintstair.wire.MessageFilter;
import mintstair.wire.ProtocolException;
import mintstair.wire.ReadThrottle;
import mintstair.wire.Recorder;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.GrizzlyFuture;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.nio.NIOConnection;

/** One connection to a db host: it greets, then carries one call at a time. All but reading is on the loop. */
final class HostConnection implements MessageFilter.Listener {
    private enum State {
        OPENING,
        RESTING,
        IDLE,
        BUSY,
        CLOSED
    }

    /** After its reply a connection waits for so long: bytes behind the reply must not meet the next call. */
    private static final long REST = 5_000;
    /** So much of a long answer may wait for its client; the second where all that waits is too much. */
    private static final int MOST_HELD = 64 * 1024;

    private static final int MOST_IN_NEED = 16 * 1024;
    /** A host that gives nothing of its answer for so long is not giving it any more. */
    private static final long STALL = 5_000_000;

    private final HostConnectionPool pool;
    private final ConnectionPools backends;
    private final Framer framer;
    private final Protocol.Parser parser;
    private State state = State.OPENING;
    private GrizzlyFuture<Connection> making;
    private Connection<?> connection;
    private PendingAttempt call;
    private volatile boolean written;
    private volatile int readCount;
    private int takenCount;
    private int passed;
    private InetSocketAddress address;
    private long idled;
    private long heardAt;
    private volatile ReadThrottle intake;
    long idleSince;
    private Recorder.Conversation record = Recorder.Conversation.NONE;

    HostConnection(HostConnectionPool pool, ConnectionPools backends) {
        this.pool = pool;
        this.backends = backends;
        framer = backends.protocol.newFramer();
        parser = backends.protocol.newParser();
    }

    void open(InetSocketAddress to) {
        address = to;
        making = backends.connector.connect(to);
        making.addCompletionHandler(new EmptyCompletionHandler<Connection>() {
            @Override
            public void completed(Connection made) {
                intake = new ReadThrottle(made, MOST_HELD, MOST_IN_NEED, backends.held, ConnectionPools.MOST_HELD);
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
        if (backends.recorder != Recorder.NONE) {
            record = backends.recorder.begin(
                    (InetSocketAddress) made.getLocalAddress(), (InetSocketAddress) made.getPeerAddress());
        }
        ask(backends.protocol.greeting(), false);
    }

    private void ask(byte[] words, boolean attempt) {
        parser.asked(words);
        write(words, attempt);
    }

    boolean leadsTo(InetSocketAddress to) {
        return address.equals(to);
    }

    /**
     * Whether nothing has come, or the end, since its last reply: what is there now would be taken for the next one's.
     * The socket itself is asked, as the network thread may not have come round to it.
     */
    boolean isClean() {
        if (readCount != takenCount) {
            return false;
        }
        try {
            return ((SocketChannel) ((NIOConnection) connection).getChannel()).read(ByteBuffer.allocate(1)) == 0;
        } catch (IOException e) {
            return false;
        }
    }

    /** Sends a call; it is the only one until its reply is whole. */
    void send(PendingAttempt next, long now) {
        state = State.BUSY;
        idled = now - idleSince;
        call = next;
        next.connection = this;
        written = false;
        ask(next.words.apply(next.begin(now)), !next.probe);
    }

    @SuppressWarnings({"unchecked", "rawtypes"})
    private void write(byte[] bytes, boolean attempt) {
        record.said(true, bytes);
        Buffer buffer = Buffers.wrap(backends.transport.getMemoryManager(), bytes);
        ((Connection) connection).write(buffer, new EmptyCompletionHandler<WriteResult>() {
            @Override
            public void completed(WriteResult result) {
                written = true;
                if (attempt) {
                    backends.counters.written.incrementAndGet();
                }
            }
        });
    }

    void close() {
        if (state != State.CLOSED) {
            record.ended();
        }
        state = State.CLOSED;
        if (connection != null) {
            connection.closeSilently();
        } else {
            // The system tries for two minutes to reach a machine that is silent, and holds a descriptor as long.
            making.cancel(true);
        }
    }

    /** The call that holds this connection is not waited for: the host learns of it by the close. */
    void abandon() {
        call = null;
        close();
        pool.closed(this);
    }

    @Override
    @SuppressWarnings("NonAtomicVolatileUpdate") // only the thread that reads this connection writes it
    public void read(ByteBuffer bytes) {
        readCount++;
        int n = bytes.remaining();
        intake.read(n);
        backends.loop.execute(() -> intake.used(n - take(bytes)));
    }

    @Override
    public void closed() {
        intake.end();
        backends.loop.execute(this::broken);
    }

    /** Whether the host goes on giving a long answer, or would, were its client quicker. */
    boolean gives(long now) {
        return intake.isPaused() || now - heardAt < STALL;
    }

    /** Takes in what was read; tells how much of it went on and waits for its client. */
    private int take(ByteBuffer bytes) {
        takenCount++;
        heardAt = backends.loop.now();
        passed = 0;
        record.said(false, bytes.array());
        parse(bytes);
        return passed;
    }

    /** What can go on of a long answer does; no more is read meanwhile than its client takes. */
    private void passOn(byte[] part) {
        if (part != null && call != null) {
            passed += part.length;
            call.part(part, () -> {
                heardAt = backends.loop.now();
                intake.used(part.length);
            });
        }
    }

    private void parse(ByteBuffer bytes) {
        if (state == State.CLOSED) {
            return;
        }
        if (state == State.RESTING || state == State.IDLE) {
            ended(ConnectionEnd.GARBLED);
            return;
        }
        try {
            framer.feed(bytes);
            HostReply reply = null;
            byte[] message = framer.next();
            while (message != null) {
                reply = parser.take(message);
                passOn(parser.takePart());
                message = reply == null ? framer.next() : null;
            }
            if (reply != null) {
                replied(reply, framer.pending() > 0);
            }
        } catch (ProtocolException e) {
            ended(ConnectionEnd.GARBLED);
        }
    }

    private void replied(HostReply reply, boolean more) {
        boolean greeted = state == State.OPENING;
        if (greeted && (more || reply.end() != ConnectionEnd.SERVED)) {
            ended(reply.end() == ConnectionEnd.TURNED_AWAY ? reply.end() : ConnectionEnd.GARBLED);
            return;
        }
        PendingAttempt over = call;
        call = null;
        HostReply heard = over != null && over.probe && reply.end() == ConnectionEnd.SERVED ? report(reply) : reply;
        idleSince = backends.loop.now();
        if (!greeted) {
            backends.trust.ended(idleSince, idled, false);
        }
        if (more || heard.end() == ConnectionEnd.REPORT_UNREADABLE) {
            // The answer stands, but what came behind it must not be taken for the answer to the next call.
            close();
            pool.closed(this);
            heard = heard.end() == ConnectionEnd.SERVED
                    ? new HostReply(ConnectionEnd.SERVED_AND_MORE, heard.body(), heard.report())
                    : heard;
        } else if (greeted) {
            state = State.IDLE;
            pool.opened(this);
        } else {
            state = State.RESTING;
            backends.loop.at(idleSince + REST, this::rested);
        }
        if (over != null) {
            over.end(heard);
        }
    }

    private void rested() {
        if (state == State.RESTING) {
            state = State.IDLE;
            pool.freed(this);
        }
    }

    private HostReply report(HostReply reply) {
        try {
            return new HostReply(reply.end(), null, backends.protocol.report(reply.body()));
        } catch (ProtocolException e) {
            return HostReply.of(ConnectionEnd.REPORT_UNREADABLE);
        }
    }

    private void broken() {
        if (state != State.CLOSED) {
            HostReply last = state == State.BUSY ? parser.atEnd() : null;
            if (last != null) {
                PendingAttempt over = call;
                call = null;
                close();
                pool.closed(this);
                over.end(last);
            } else {
                if (state == State.BUSY) {
                    backends.trust.ended(backends.loop.now(), idled, true);
                }
                ended(
                        written || state == State.OPENING
                                ? ConnectionEnd.BROKEN_AFTER_WRITTEN
                                : ConnectionEnd.BROKEN_BEFORE_WRITTEN);
            }
        }
    }

    private void ended(ConnectionEnd why) {
        boolean opening = state == State.OPENING;
        PendingAttempt over = call;
        call = null;
        close();
        if (opening) {
            pool.openingFailed(this, why == ConnectionEnd.TURNED_AWAY ? why : ConnectionEnd.CONNECT_FAILED);
        } else {
            pool.closed(this);
            if (over != null) {
                over.end(HostReply.of(why));
            }
        }
    }
}
