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
 * One pooled connection to a host. It sends the protocol's greeting and, once that is answered, carries one attempt at
 * a time. It notifies its pool when it is opened, fails to open, becomes idle and is closed.
 *
 * <p>All methods run on the event loop, except for {@link #readStarting}, {@link #read} and {@link #closed}.
 */
final class HostConnection implements MessageFilter.Listener {
    /**
     * The state of a connection. After CONNECTING it is IDLE, then ACTIVE during an attempt, SETTLING after its reply,
     * and IDLE again. Any state may be followed by CLOSED.
     */
    private enum State {
        CONNECTING,
        SETTLING,
        IDLE,
        ACTIVE,
        CLOSED
    }

    /**
     * The time after a reply during which the connection is not reused, so that bytes that trail the reply are not read
     * as the reply to the next attempt.
     */
    private static final long SETTLE_MICROS = 5_000;
    /** The time without progress of a long reply after which its host counts as stalled. */
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
    /** Set once by the network thread, before the first read. */
    private volatile ReadThrottle throttle;
    /** Whether the network thread has started a read that is not yet counted; written by that thread. */
    private volatile boolean reading;
    /** The number of reads that returned bytes; written by the network thread. */
    private volatile int readCount;
    /** The number of reads that the event loop has processed; accessed only on the event loop. */
    private int processedReadCount;

    private PendingAttempt attempt;
    /** Whether the last byte of the request was written; set by the network thread. */
    private volatile boolean written;

    private long idleSinceMicros;
    /** How long the connection had been idle before the current attempt. */
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

    /** Starts to connect. The pool is notified when the connection is ready for an attempt, or has failed. */
    void open() {
        connecting = connector.connect(address);
        connecting.addCompletionHandler(new EmptyCompletionHandler<Connection>() {
            @Override
            public void completed(Connection established) {
                throttle = connector.throttle(established);
                connector.listen(established, HostConnection.this);
                loop.execute(() -> connected(established));
            }

            @Override
            public void failed(Throwable cause) {
                loop.execute(HostConnection.this::disconnected);
            }
        });
        // A machine that does not respond leaves a connection that neither becomes ready nor fails.
        loop.at(loop.now() + connector.connectTimeoutMicros(), this::connectTimedOut);
    }

    private void connectTimedOut() {
        if (state == State.CONNECTING) {
            openFailed(ConnectionEnd.CONNECT_TIMEOUT);
        }
    }

    private void connected(Connection<?> established) {
        connection = established;
        if (state == State.CLOSED) {
            established.closeSilently();
            return;
        }
        transcript = connector.startRecording(established);
        write(connector.protocol().greeting(), false);
    }

    /** Returns whether the connection was opened to this address. */
    boolean isConnectedTo(InetSocketAddress listed) {
        return address.equals(listed);
    }

    /** Returns the time at which the connection last became idle. */
    long idleSinceMicros() {
        return idleSinceMicros;
    }

    /**
     * Returns whether neither bytes nor the end of the stream have arrived since the last reply; they would be taken
     * for the next reply. The socket is checked first, as the network thread may not have read it yet. The counters of
     * reads must be checked after it, as that thread may have emptied the socket just before the check, without having
     * counted its read.
     */
    boolean isClean() {
        return isSocketEmpty() && !reading && readCount == processedReadCount;
    }

    private boolean isSocketEmpty() {
        try {
            return ((SocketChannel) ((NIOConnection) connection).getChannel()).read(ByteBuffer.allocate(1)) == 0;
        } catch (IOException e) {
            // A broken connection is as unusable as a closed one.
            return false;
        }
    }

    /** Sends an attempt, which has exclusive use of the connection until it ends. */
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

    /** Called on the network thread when the last byte of the request was written. */
    private void requestWritten() {
        written = true;
    }

    /** Closes the connection without notifying the pool. */
    void close() {
        if (state != State.CLOSED) {
            transcript.ended();
        }
        state = State.CLOSED;
        if (connection != null) {
            connection.closeSilently();
        } else {
            // Otherwise the kernel would keep trying to connect, and hold a file descriptor, for two minutes.
            connecting.cancel(true);
        }
    }

    /** Closes the connection because its attempt was ended by the proxy. The host is notified by the close. */
    void abandon() {
        attempt = null;
        close();
        pool.closed(this);
    }

    @Override
    public void readStarting() {
        reading = true;
    }

    @Override
    @SuppressWarnings("NonAtomicVolatileUpdate") // written only by the thread that reads this connection
    public void read(ByteBuffer bytes) {
        readCount++;
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

    /** Returns whether a long reply is making progress, or is paused only because its client reads slowly. */
    boolean isStreaming(long nowMicros) {
        return throttle.isPaused() || nowMicros - progressAtMicros < STALL_TIMEOUT_MICROS;
    }

    /** Processes bytes that were read, and returns how many of them were forwarded and are pending for the client. */
    private int process(ByteBuffer bytes) {
        processedReadCount++;
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
                replyReceived(reply, framer.pending() > 0);
            }
        } catch (ProtocolException e) {
            // The end is counted. Data from hosts is not logged.
            fail(ConnectionEnd.GARBLED);
        }
        return forwarded;
    }

    /** Forwards a part of a long reply. The read throttle counts it as pending until the client has received it. */
    private int forward(byte[] part) {
        if (part == null || attempt == null) {
            return 0;
        }
        attempt.forwardPart(part, () -> {
            progressAtMicros = loop.now();
            throttle.bytesConsumed(part.length);
        });
        return part.length;
    }

    private void replyReceived(HostReply reply, boolean hasTrailingBytes) {
        if (state == State.CONNECTING) {
            greetingAnswered(reply, hasTrailingBytes);
            return;
        }
        PendingAttempt answered = removeAttempt();
        HostReply decoded = answered != null && answered.isHealthCheck() ? decodeReport(reply) : reply;
        idleSinceMicros = loop.now();
        idleReuse.recordOutcome(idleSinceMicros, idleBeforeAttemptMicros, false);
        if (hasTrailingBytes || decoded.end() == ConnectionEnd.REPORT_UNREADABLE) {
            // The reply is valid, but trailing bytes must not be read as the reply to the next attempt.
            close();
            pool.closed(this);
        } else {
            state = State.SETTLING;
            loop.at(idleSinceMicros + SETTLE_MICROS, this::settled);
        }
        if (answered != null) {
            answered.end(hasTrailingBytes ? withTrailingBytes(decoded) : decoded);
        }
    }

    private static HostReply withTrailingBytes(HostReply reply) {
        return reply.end() == ConnectionEnd.SERVED
                ? new HostReply(ConnectionEnd.SERVED_AND_MORE, reply.body(), reply.report())
                : reply;
    }

    private void greetingAnswered(HostReply reply, boolean hasTrailingBytes) {
        if (reply.end() == ConnectionEnd.TURNED_AWAY) {
            openFailed(ConnectionEnd.TURNED_AWAY);
        } else if (hasTrailingBytes || reply.end() != ConnectionEnd.SERVED) {
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
            return new HostReply(reply.end(), null, connector.protocol().decodeReport(reply.body()));
        } catch (ProtocolException e) {
            // The end is counted. Data from hosts is not logged.
            return HostReply.of(ConnectionEnd.REPORT_UNREADABLE);
        }
    }

    private void disconnected() {
        switch (state) {
            case CONNECTING -> openFailed(ConnectionEnd.CONNECT_FAILED);
            case ACTIVE -> disconnectedDuringAttempt();
            case SETTLING, IDLE -> closeAndEnd(null);
            default -> {
                // The connection was closed by the proxy, and the pool was notified.
            }
        }
    }

    private void disconnectedDuringAttempt() {
        HostReply reply = parser.replyAtClose();
        if (reply == null) {
            idleReuse.recordOutcome(loop.now(), idleBeforeAttemptMicros, true);
            reply = HostReply.of(written ? ConnectionEnd.BROKEN_AFTER_WRITTEN : ConnectionEnd.BROKEN_BEFORE_WRITTEN);
        }
        closeAndEnd(reply);
    }

    /** Closes the connection, and ends the attempt on it, after the host has violated the protocol. */
    private void fail(ConnectionEnd end) {
        if (state == State.CONNECTING) {
            openFailed(ConnectionEnd.CONNECT_FAILED);
        } else {
            closeAndEnd(HostReply.of(end));
        }
    }

    private void openFailed(ConnectionEnd end) {
        close();
        pool.openFailed(this, end);
    }

    /** Closes the connection, and ends the attempt on it, if there is one, with the reply. */
    private void closeAndEnd(HostReply reply) {
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
