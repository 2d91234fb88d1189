package mintstair.backend;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import mintstair.proxy.EventLoop;
import mintstair.request.ConnectionEnd;
import mintstair.request.HostReply;
import mintstair.wire.Framer;
import mintstair.wire.MessageFilter;
import mintstair.wire.ProtocolException;
import mintstair.wire.ReadThrottle;
import mintstair.wire.Recorder;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.GrizzlyFuture;
import org.glassfish.grizzly.nio.NIOConnection;

/**
 * One pooled connection to a host. It sends its greeting, and carries one attempt at a time once that is answered. Its
 * pool is notified of each change.
 *
 * <p>Runs on the event loop, but for {@link #read} and {@link #closed}.
 */
final class HostConnection implements MessageFilter.Listener {
    /**
     * A connection is made (CONNECTING) and then alternates between IDLE, ACTIVE with an attempt, and SETTLING after
     * it. Any state may be followed by CLOSED.
     */
    private enum State {
        CONNECTING,
        SETTLING,
        IDLE,
        ACTIVE,
        CLOSED
    }

    /** How long a connection is not reused after a reply: bytes behind the reply must not meet the next attempt. */
    private static final long SETTLE_MICROS = 5_000;
    /** A host that sends nothing of a long reply for so long has stalled. */
    private static final long STALL_TIMEOUT_MICROS = 5_000_000;

    private final HostConnectionPool pool;
    private final HostConnector connector;
    private final IdleReusePolicy idleReuse;
    private final EventLoop loop;
    private final InetSocketAddress address;
    private final Framer framer;
    private final Protocol.Parser parser;

    private State state = State.CONNECTING;
    private GrizzlyFuture<Connection> connecting;
    private Connection<?> connection;
    private Recorder.Conversation transcript = Recorder.Conversation.NONE;
    /** Set once by the network thread, before its first read. */
    private volatile ReadThrottle throttle;
    /** Whether the network thread is between the begin of a read and its count; written by that thread. */
    private volatile boolean reading;
    /** Written by the network thread. */
    private volatile int reads;
    /** Of {@link #reads}, those that the event loop has processed; only there. */
    private int processedReads;

    private PendingAttempt attempt;
    /** Whether the last byte of the request was written; set by the network thread. */
    private volatile boolean written;

    private long idleSinceMicros;
    /** How long it had been idle before the current attempt. */
    private long idleBeforeAttemptMicros;

    private long progressAtMicros;

    HostConnection(
            HostConnectionPool pool, HostConnector connector, IdleReusePolicy idleReuse, InetSocketAddress address) {
        this.pool = pool;
        this.connector = connector;
        this.idleReuse = idleReuse;
        this.address = address;
        loop = connector.loop();
        framer = connector.protocol().newFramer();
        parser = connector.protocol().newParser();
    }

    /** Begins to connect; the pool is notified when it is ready, or has failed. */
    void open() {
        connecting = connector.connect(address);
        connecting.addCompletionHandler(new EmptyCompletionHandler<Connection>() {
            @Override
            public void completed(Connection made) {
                throttle = connector.throttle(made);
                connector.listen(made, HostConnection.this);
                loop.execute(() -> connected(made));
            }

            @Override
            public void failed(Throwable cause) {
                loop.execute(HostConnection.this::disconnected);
            }
        });
        // A machine that does not respond leaves a connection that neither comes up nor fails.
        loop.at(loop.now() + connector.connectTimeoutMicros(), this::connectTimedOut);
    }

    private void connectTimedOut() {
        if (state == State.CONNECTING) {
            openFailed(ConnectionEnd.CONNECT_TIMEOUT);
        }
    }

    private void connected(Connection<?> made) {
        connection = made;
        if (state == State.CLOSED) {
            made.closeSilently();
            return;
        }
        transcript = connector.record(made);
        write(connector.protocol().greeting(), false);
    }

    /** Whether it leads to this address, at which its host is listed. */
    boolean leadsTo(InetSocketAddress listed) {
        return address.equals(listed);
    }

    /** Since when it has been idle. */
    long idleSinceMicros() {
        return idleSinceMicros;
    }

    /**
     * Whether neither bytes nor the end have arrived since the last reply: they would be read as the next one. The
     * socket itself is asked, as the network thread may not have read it yet; and only then whether that thread has read
     * or is reading, as it may have emptied the socket a moment before.
     */
    boolean isClean() {
        return isSocketEmpty() && !reading && reads == processedReads;
    }

    private boolean isSocketEmpty() {
        try {
            return ((SocketChannel) ((NIOConnection) connection).getChannel()).read(ByteBuffer.allocate(1)) == 0;
        } catch (IOException e) {
            // Broken, and as unusable as a closed one.
            return false;
        }
    }

    /** Sends an attempt, which has the connection to itself until its end. */
    void send(PendingAttempt next, long nowMicros) {
        state = State.ACTIVE;
        idleBeforeAttemptMicros = nowMicros - idleSinceMicros;
        attempt = next;
        written = false;
        write(next.begin(this, nowMicros), !next.isHealthCheck());
    }

    private void write(byte[] request, boolean countsAsAttempt) {
        parser.requestSent(request);
        transcript.record(true, request);
        connector.write(connection, request, countsAsAttempt, this::requestWritten);
    }

    /** The last byte of the request was written; on the network thread. */
    private void requestWritten() {
        written = true;
    }

    /** Closes it without notice to its pool. */
    void close() {
        if (state != State.CLOSED) {
            transcript.ended();
        }
        state = State.CLOSED;
        if (connection != null) {
            connection.closeSilently();
        } else {
            // Otherwise the kernel would try for two minutes to connect, and hold a descriptor meanwhile.
            connecting.cancel(true);
        }
    }

    /** Closes it as its attempt has ended from this side; the host is notified by the close. */
    void abandon() {
        attempt = null;
        close();
        pool.closed(this);
    }

    @Override
    public void readBegins() {
        reading = true;
    }

    @Override
    @SuppressWarnings("NonAtomicVolatileUpdate") // only the thread that reads this connection writes it
    public void read(ByteBuffer bytes) {
        reads++;
        reading = false;
        int length = bytes.remaining();
        throttle.bytesRead(length);
        loop.execute(() -> {
            int forwarded = process(bytes);
            throttle.bytesConsumed(length - forwarded);
        });
    }

    @Override
    public void closed() {
        throttle.connectionClosed();
        loop.execute(this::disconnected);
    }

    /** Whether a long reply goes on, or would if its client were faster. */
    boolean isStreaming(long nowMicros) {
        return throttle.isPaused() || nowMicros - progressAtMicros < STALL_TIMEOUT_MICROS;
    }

    /** Takes in what was read; returns how many bytes of it were forwarded and wait for the client. */
    private int process(ByteBuffer bytes) {
        processedReads++;
        progressAtMicros = loop.now();
        transcript.record(false, bytes.array());
        return switch (state) {
            case CONNECTING, ACTIVE -> parse(bytes);
            case SETTLING, IDLE -> {
                fail(ConnectionEnd.GARBLED);
                yield 0;
            }
            case CLOSED -> 0;
        };
    }

    private int parse(ByteBuffer bytes) {
        int forwarded = 0;
        try {
            framer.feed(bytes);
            HostReply reply = null;
            byte[] message = framer.next();
            while (message != null) {
                reply = parser.parse(message);
                forwarded += forward(parser.pollPart());
                message = reply == null ? framer.next() : null;
            }
            if (reply != null) {
                replied(reply, framer.pending() > 0);
            }
        } catch (ProtocolException e) {
            // Counted by its end; what a host sent goes into no log.
            fail(ConnectionEnd.GARBLED);
        }
        return forwarded;
    }

    /** Forwards a part of a long reply; no more is read than its client takes. */
    private int forward(byte[] part) {
        if (part == null || attempt == null) {
            return 0;
        }
        attempt.part(part, () -> {
            progressAtMicros = loop.now();
            throttle.bytesConsumed(part.length);
        });
        return part.length;
    }

    private void replied(HostReply reply, boolean moreFollows) {
        if (state == State.CONNECTING) {
            greeted(reply, moreFollows);
            return;
        }
        PendingAttempt answered = removeAttempt();
        HostReply decoded = answered != null && answered.isHealthCheck() ? decodeReport(reply) : reply;
        idleSinceMicros = loop.now();
        idleReuse.record(idleSinceMicros, idleBeforeAttemptMicros, false);
        if (moreFollows || decoded.end() == ConnectionEnd.REPORT_UNREADABLE) {
            // The reply is valid, but what follows must not be read as the reply to the next attempt.
            close();
            pool.closed(this);
        } else {
            state = State.SETTLING;
            loop.at(idleSinceMicros + SETTLE_MICROS, this::settled);
        }
        if (answered != null) {
            answered.end(moreFollows ? markedAsFollowed(decoded) : decoded);
        }
    }

    private static HostReply markedAsFollowed(HostReply reply) {
        return reply.end() == ConnectionEnd.SERVED
                ? new HostReply(ConnectionEnd.SERVED_AND_MORE, reply.body(), reply.report())
                : reply;
    }

    private void greeted(HostReply reply, boolean moreFollows) {
        if (reply.end() == ConnectionEnd.TURNED_AWAY) {
            openFailed(ConnectionEnd.TURNED_AWAY);
        } else if (moreFollows || reply.end() != ConnectionEnd.SERVED) {
            openFailed(ConnectionEnd.CONNECT_FAILED);
        } else {
            idleSinceMicros = loop.now();
            state = State.IDLE;
            pool.opened(this);
        }
    }

    private void settled() {
        if (state == State.SETTLING) {
            state = State.IDLE;
            pool.release(this);
        }
    }

    private HostReply decodeReport(HostReply reply) {
        if (reply.end() != ConnectionEnd.SERVED) {
            return reply;
        }
        try {
            return new HostReply(reply.end(), null, connector.protocol().report(reply.body()));
        } catch (ProtocolException e) {
            // Counted by its end; what a host sent goes into no log.
            return HostReply.of(ConnectionEnd.REPORT_UNREADABLE);
        }
    }

    private void disconnected() {
        switch (state) {
            case CONNECTING -> openFailed(ConnectionEnd.CONNECT_FAILED);
            case ACTIVE -> disconnectedDuringAttempt();
            case SETTLING, IDLE -> endWith(null);
            default -> {
                // It was closed from this side, and its pool knows.
            }
        }
    }

    private void disconnectedDuringAttempt() {
        HostReply reply = parser.replyAtClose();
        if (reply == null) {
            idleReuse.record(loop.now(), idleBeforeAttemptMicros, true);
            reply = HostReply.of(written ? ConnectionEnd.BROKEN_AFTER_WRITTEN : ConnectionEnd.BROKEN_BEFORE_WRITTEN);
        }
        endWith(reply);
    }

    /** Ends the connection, and the attempt on it, where the host has broken the protocol. */
    private void fail(ConnectionEnd end) {
        if (state == State.CONNECTING) {
            openFailed(ConnectionEnd.CONNECT_FAILED);
        } else {
            endWith(HostReply.of(end));
        }
    }

    private void openFailed(ConnectionEnd end) {
        close();
        pool.openFailed(this, end);
    }

    /** Closes the connection; where there is an attempt on it, that ends with the reply. */
    private void endWith(HostReply reply) {
        PendingAttempt ended = removeAttempt();
        close();
        pool.closed(this);
        if (ended != null) {
            ended.end(reply);
        }
    }

    private PendingAttempt removeAttempt() {
        PendingAttempt removed = attempt;
        attempt = null;
        return removed;
    }
}
