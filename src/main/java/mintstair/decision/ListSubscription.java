package mintstair.decision;

import java.util.Random;

/**
 * Keeps the router subscribed to the endpoint list, with a backoff while that is out of reach. Not safe for use by
 * several threads.
 */
final class ListSubscription {
    private static final String TIMER = "subscribe";
    /** Before the list is asked for again, in microseconds; doubled for each failure in a row, and jittered. */
    private static final long INITIAL_BACKOFF_MICROS = 500_000;

    private static final int MAX_DOUBLINGS = 4;

    private final RouterActions actions;
    private final Random random;
    private int failures;

    ListSubscription(RouterActions actions, Random random) {
        this.actions = actions;
        this.random = random;
    }

    /** Asks for the list, where these settings have the router do so. */
    void start(RouterSettings settings) {
        if (settings.subscribesToEndpoints()) {
            actions.subscribe();
        }
    }

    /** A call for the list has failed: the old one stays in use, and routers must not ask again all at once. */
    void failed() {
        long wait = INITIAL_BACKOFF_MICROS << Math.min(failures++, MAX_DOUBLINGS);
        actions.startTimer(TIMER, wait + (long) (random.nextDouble() * wait));
        if (failures == 1) {
            actions.log("endpoint list unreachable; the last one stays in use");
        }
    }

    /** A list has come. */
    void succeeded() {
        failures = 0;
    }

    /** A timer has fired; asks again if it is the one of the backoff. */
    void timerFired(String name) {
        if (name.equals(TIMER)) {
            actions.subscribe();
        }
    }
}
