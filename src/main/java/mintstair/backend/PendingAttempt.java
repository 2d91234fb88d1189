package mintstair.backend;

import java.util.concurrent.Future;
import java.util.function.LongFunction;
import mintstair.proxy.Backend;
import mintstair.request.AttemptVerdict;
import mintstair.request.ConnectionEnd;
import mintstair.request.HostReply;

/** One attempt or probe on its way: it waits for a connection, is written, and ends exactly once. */
final class PendingAttempt implements Backend.Attempt {
    private static final long MICROS_PER_MILLI = 1_000;

    final LongFunction<byte[]> words;
    final long writeBy;
    final long until;
    final boolean probe;
    private final Backend.AttemptListener listener;
    HostConnection connection;
    HostConnectionPool pool;
    Future<?> timer;
    private boolean ended;
    private boolean flows;

    /** {@code words} makes what is sent, from the milliseconds that are left until {@code until}. */
    PendingAttempt(
            LongFunction<byte[]> words, long writeBy, long until, boolean probe, Backend.AttemptListener listener) {
        this.words = words;
        this.writeBy = writeBy;
        this.until = until;
        this.probe = probe;
        this.listener = listener;
    }

    boolean hasEnded() {
        return ended;
    }

    /** Whether a long answer has begun to go on: its time is over only when its host stops giving. */
    boolean flows() {
        return flows;
    }

    /** Whether it may begin now. */
    AttemptVerdict mayBegin(long now) {
        return listener.mayBegin(now);
    }

    /** What its host is told to work for at most, in milliseconds; it is written next. */
    long begin(long now) {
        long millis = Math.max(1, (until - now) / MICROS_PER_MILLI);
        listener.begun(now, millis * MICROS_PER_MILLI);
        return millis;
    }

    void part(byte[] bytes, Runnable taken) {
        flows = true;
        listener.part(bytes, taken);
    }

    void end(HostReply reply) {
        if (!ended) {
            ended = true;
            timer.cancel(false);
            listener.end(reply);
        }
    }

    @Override
    public void cancel() {
        stop(connection == null ? ConnectionEnd.NEVER_SENT : ConnectionEnd.CALLED_OFF);
    }

    /** Ends it from this side, and with it the connection that it holds. */
    void stop(ConnectionEnd why) {
        if (!ended) {
            pool.forget(this);
            if (connection != null) {
                connection.abandon();
            }
            end(HostReply.of(why));
        }
    }
}
