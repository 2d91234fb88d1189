package mintstair.backend;

import java.util.concurrent.Future;
import java.util.function.LongFunction;
import mintstair.proxy.Backend;
import mintstair.request.AttemptVerdict;
import mintstair.request.ConnectionEnd;
import mintstair.request.HostReply;

/**
 * One attempt, or one health check: it waits in a pool for a connection, is written, and ends exactly once. Runs on the
 * event loop; times are on its clock.
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
     * Makes an attempt that does not wait yet.
     *
     * @param encoder makes the request from the milliseconds that are left until {@code timeoutAtMicros}
     * @param writeByMicros by when it is written, or not at all
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

    /** Notes that it waits in this pool. */
    void queuedIn(HostConnectionPool owner) {
        pool = owner;
    }

    /** Notes the timer that runs for it, which its end cancels. */
    void setTimer(Future<?> newTimer) {
        timer = newTimer;
    }

    /** The connection that it is written on; null while it waits for one. */
    HostConnection connection() {
        return connection;
    }

    /** Whether a part of a long reply was forwarded, so that no other attempt can take its place. */
    boolean isStreaming() {
        return streaming;
    }

    /** Whether it may begin now; asked right before it is written. */
    AttemptVerdict mayBegin(long nowMicros) {
        return listener.mayBegin(nowMicros);
    }

    /** Notes that it is written next, on this connection, and returns its request. */
    byte[] begin(HostConnection on, long nowMicros) {
        connection = on;
        long timeoutMillis = Math.max(1, (timeoutAtMicros - nowMicros) / MICROS_PER_MILLI);
        listener.onBegin(nowMicros, timeoutMillis * MICROS_PER_MILLI);
        return encoder.apply(timeoutMillis);
    }

    /** Forwards a part of a long reply; {@code onForwarded} runs when the client has got it. */
    void part(byte[] bytes, Runnable onForwarded) {
        streaming = true;
        listener.onReplyPart(bytes, onForwarded);
    }

    /** Ends it with its reply, unless it has ended. */
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
        stop(connection == null ? ConnectionEnd.NEVER_SENT : ConnectionEnd.CALLED_OFF);
    }

    /** Ends it from this side, unless it has ended, and closes the connection that it holds. */
    void stop(ConnectionEnd end) {
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
