package mintstair.proxy;

import java.util.concurrent.Future;

/**
 * Reports that a request is still without its answer shortly after its deadline. The router is to answer each request
 * in time; this is the safeguard for the case that it does not, so that a client never waits for ever. To be used on
 * the event loop only.
 */
final class DeadlineGuard {
    /** How long the router may be late before the guard acts. */
    static final long GRACE_MICROS = 10_000;

    private final EventLoop loop;
    private final long expiresAtMicros;
    private final Runnable onExpired;
    private Future<?> timer;

    private DeadlineGuard(EventLoop loop, long expiresAtMicros, Runnable onExpired) {
        this.loop = loop;
        this.expiresAtMicros = expiresAtMicros;
        this.onExpired = onExpired;
    }

    /** Starts a guard that runs {@code onExpired} once, unless it is cancelled before. */
    static DeadlineGuard start(EventLoop loop, long deadlineMicros, Runnable onExpired) {
        DeadlineGuard guard = new DeadlineGuard(loop, deadlineMicros + GRACE_MICROS, onExpired);
        guard.schedule();
        return guard;
    }

    private void schedule() {
        timer = loop.at(expiresAtMicros, this::timerFired);
    }

    /** The timer runs on another clock than the loop and may fire early. */
    private void timerFired() {
        if (loop.now() < expiresAtMicros) {
            schedule();
        } else {
            onExpired.run();
        }
    }

    /** Stops the guard; it may be called more than once. */
    void cancel() {
        timer.cancel(false);
    }
}
