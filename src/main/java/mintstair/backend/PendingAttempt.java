package mintstair.backend;

import java.util.concurrent.Future;
import java.util.function.LongFunction;
import mintstair.proxy.Backend;
import mintstair.request.AttemptVerdict;
import mintstair.request.ConnectionEnd;
import mintstair.request.HostReply;

/**
 * One attempt, or one health check. It waits in a pool for a connection, is written, and ends exactly once. All methods
 * run on the event loop, and all times are on its clock.
 */
final class PendingAttempt implements Backend.Attempt {
    private static final long MICROS_PER_MILLI = 1_000;

    private final LongFunction<byte[]> encoder;
    private final long writeByMicros;
    private final long timeoutAtMicros;
    private final boolean healthCheck;
    private final Backend.AttemptListener listener;
    private HostConnectionPool pool;
    private HostConnection connection;
    private Future<?> timer;
    private boolean ended;
    private boolean streaming;

    /**
     * Creates an attempt that is not queued yet.
     *
     * @param encoder encodes the request, given the milliseconds that remain until {@code timeoutAtMicros}
     * @param writeByMicros the time by which the attempt must be written; later it is not sent
     * @param timeoutAtMicros the time at which the attempt ends without a reply
     */
    PendingAttempt(
            LongFunction<byte[]> encoder,
            long writeByMicros,
            long timeoutAtMicros,
            boolean healthCheck,
            Backend.AttemptListener listener) {
        this.encoder = encoder;
        this.writeByMicros = writeByMicros;
        this.timeoutAtMicros = timeoutAtMicros;
        this.healthCheck = healthCheck;
        this.listener = listener;
    }

    long writeByMicros() {
        return writeByMicros;
    }

    long timeoutAtMicros() {
        return timeoutAtMicros;
    }

    boolean isHealthCheck() {
        return healthCheck;
    }

    /** Sets the pool in which the attempt waits for a connection. */
    void setPool(HostConnectionPool owner) {
        pool = owner;
    }

    /** Sets the timer that is cancelled when the attempt ends. */
    void setTimer(Future<?> newTimer) {
        timer = newTimer;
    }

    /** Returns the connection on which the attempt is written, or null while it waits for one. */
    HostConnection connection() {
        return connection;
    }

    /** Returns whether a part of a long reply was forwarded, after which no other attempt can replace this one. */
    boolean isStreaming() {
        return streaming;
    }

    /** Returns the listener's verdict whether the attempt may begin. Called immediately before it is written. */
    AttemptVerdict mayBegin(long nowMicros) {
        return listener.mayBegin(nowMicros);
    }

    /** Records that the attempt is about to be written on this connection, and returns the encoded request. */
    byte[] begin(HostConnection on, long nowMicros) {
        connection = on;
        long timeoutMillis = Math.max(1, (timeoutAtMicros - nowMicros) / MICROS_PER_MILLI);
        listener.onBegin(nowMicros, timeoutMillis * MICROS_PER_MILLI);
        return encoder.apply(timeoutMillis);
    }

    /** Forwards a part of a long reply. {@code onForwarded} runs when the client has received it. */
    void forwardPart(byte[] bytes, Runnable onForwarded) {
        streaming = true;
        listener.onReplyPart(bytes, onForwarded);
    }

    /** Ends the attempt with its reply, unless it has already ended. */
    void end(HostReply reply) {
        if (ended) {
            return;
        }
        ended = true;
        if (timer != null) {
            timer.cancel(false);
        }
        listener.onEnd(reply);
    }

    @Override
    public void cancel() {
        abort(connection == null ? ConnectionEnd.NEVER_SENT : ConnectionEnd.CALLED_OFF);
    }

    /** Ends the attempt before its reply, unless it has already ended, and closes its connection, if it has one. */
    void abort(ConnectionEnd end) {
        if (ended) {
            return;
        }
        pool.cancelAcquire(this);
        if (connection != null) {
            connection.abandon();
        }
        end(HostReply.of(end));
    }
}
