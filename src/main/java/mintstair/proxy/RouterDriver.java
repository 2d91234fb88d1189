package mintstair.proxy;

import java.util.ArrayDeque;
import java.util.List;
import java.util.concurrent.Future;
import java.util.function.Consumer;
import mintstair.routing.RequestRouter;
import mintstair.routing.RouterAction;
import mintstair.routing.RouterEvent;

/**
 * Passes events to the router, executes the actions that it returns, and calls it when its next timer is due. Used on
 * the event loop only.
 *
 * <p>Each action runs to completion before the next one starts. Actions that result from executing an action are queued
 * behind the pending ones, not executed recursively.
 */
final class RouterDriver {
    private static final long NO_TIMER = Long.MAX_VALUE;

    private final EventLoop loop;
    private final RequestRouter router;
    private final Consumer<RouterAction> executor;
    private final ArrayDeque<RouterAction> pending = new ArrayDeque<>();
    private boolean executing;
    private Future<?> timer;
    private long timerAtMicros = NO_TIMER;

    /**
     * Creates a driver that has no timer running.
     *
     * @param executor executes one action; it may call the methods of this object
     */
    RouterDriver(EventLoop loop, RequestRouter router, Consumer<RouterAction> executor) {
        this.loop = loop;
        this.router = router;
        this.executor = executor;
    }

    /** Passes an event to the router and executes the resulting actions. */
    void handle(long nowMicros, RouterEvent event) {
        execute(router.handle(nowMicros, event));
    }

    /** Executes actions of the router, after all pending actions. */
    void execute(List<RouterAction> actions) {
        pending.addAll(actions);
        if (executing) {
            return;
        }
        executing = true;
        try {
            executePending();
        } finally {
            executing = false;
        }
        adjustTimer();
    }

    private void executePending() {
        for (RouterAction action = pending.poll(); action != null; action = pending.poll()) {
            executor.accept(action);
        }
    }

    /**
     * Starts a timer for the router's next one if none runs that is as early. An earlier timer is kept: when it fires,
     * nothing is due yet, and the next timer is started.
     */
    private void adjustTimer() {
        long nextMicros = router.nextTimerMicros();
        if (nextMicros >= timerAtMicros) {
            return;
        }
        if (timer != null) {
            timer.cancel(false);
        }
        timerAtMicros = nextMicros;
        timer = loop.at(nextMicros, this::timerFired);
    }

    private void timerFired() {
        timerAtMicros = NO_TIMER;
        execute(router.fireTimers(loop.now()));
    }
}
