package mintstair.decision;

import java.util.Random;

/**
 * Subscribes the router to the endpoint list, and retries with backoff while the list is unreachable. Not safe for use
 * by several threads.
 */
final class ListSubscription {
    private static final String TIMER = "subscribe";
    /** The backoff after the first failure; it doubles with each consecutive failure, and jitter is added. */
    private static final long INITIAL_BACKOFF_MICROS = 500_000;

    private static final int MAX_DOUBLINGS = 4;

    private final RouterActions actions;
    private final Random random;
    private int failures;

    ListSubscription(RouterActions actions, Random random) {
        this.actions = actions;
        this.random = random;
    }

    /** Subscribes to the list if these settings say so. */
    void start(RouterSettings settings) {
        if (settings.subscribesToEndpoints()) {
            actions.subscribe();
        }
    }

    /**
     * Schedules another attempt after a failure. The last list stays in use; the jitter keeps routers from retrying all
     * at once.
     */
    void failed() {
        long backoff = INITIAL_BACKOFF_MICROS << Math.min(failures++, MAX_DOUBLINGS);
        actions.startTimer(TIMER, backoff + (long) (random.nextDouble() * backoff));
        if (failures == 1) {
            actions.log("endpoint list unreachable; the last list stays in use");
        }
    }

    /** Resets the backoff, because a list has arrived. */
    void succeeded() {
        failures = 0;
    }

    /** Subscribes again if the timer that fired is the one of the backoff. */
    void timerFired(String name) {
        if (name.equals(TIMER)) {
            actions.subscribe();
        }
    }
}
