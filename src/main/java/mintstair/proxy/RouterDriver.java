package mintstair.proxy;

import java.util.ArrayDeque;
import java.util.List;
import java.util.concurrent.Future;
import java.util.function.Consumer;
import mintstair.routing.RequestRouter;
import mintstair.routing.RouterAction;
import mintstair.routing.RouterEvent;

/**
 * Hands events to the router, has the actions that it returns executed, and calls it when its next timer is due. To be
 * used on the event loop only.
 *
 * <p>Actions run to completion one after another: those that an action leads to are executed after it, in order, not
 * inside it.
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

    /** @param executor executes one action; it may call this object again */
    RouterDriver(EventLoop loop, RequestRouter router, Consumer<RouterAction> executor) {
        this.loop = loop;
        this.router = router;
        this.executor = executor;
    }

    /** Hands an event to the router and executes what it decides. */
    void handle(long nowMicros, RouterEvent event) {
        execute(router.handle(nowMicros, event));
    }

    /** Executes actions of the router, after those that are pending. */
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

    /** A timer that is earlier than the router's next one stays: it finds nothing due, and sets the next. */
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
