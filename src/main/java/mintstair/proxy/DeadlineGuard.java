package mintstair.proxy;

import java.util.concurrent.Future;

/**
 * Detects that a request has no final response shortly after its deadline. The router is responsible for responding in
 * time; this guard ensures that no client waits forever if the router fails to do so. Used on the event loop only.
 */
final class DeadlineGuard {
    /** How long after the deadline the router may still respond before the guard expires. */
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

    /** Starts a guard that runs {@code onExpired} once, unless it is cancelled first. */
    static DeadlineGuard start(EventLoop loop, long deadlineMicros, Runnable onExpired) {
        DeadlineGuard guard = new DeadlineGuard(loop, deadlineMicros + GRACE_MICROS, onExpired);
        guard.schedule();
        return guard;
    }

    private void schedule() {
        timer = loop.at(expiresAtMicros, this::timerFired);
    }

    /** Reschedules the timer if it fired early, which can happen as it runs on a different clock than the loop. */
    private void timerFired() {
        if (loop.now() < expiresAtMicros) {
            schedule();
        } else {
            onExpired.run();
        }
    }

    /** Stops the guard. May be called more than once. */
    void cancel() {
        timer.cancel(false);
    }
}
