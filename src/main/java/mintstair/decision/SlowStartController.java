package mintstair.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Supplier;

/**
 * Begins the slow starts of endpoints, after a start that the endpoint list reports or that this router detects, and
 * logs when they begin and end. Times are microseconds. Not safe for use by several threads.
 */
final class SlowStartController {
    private static final double MICROS_PER_SECOND = 1e6;

    private final Supplier<RouterSettings> settings;
    private final PositionClock positions;
    private final RouterActions actions;
    /** The endpoints whose slow start has not been logged as ended. */
    private final List<Endpoint> warmingUp = new ArrayList<>();

    SlowStartController(Supplier<RouterSettings> settings, PositionClock positions, RouterActions actions) {
        this.settings = settings;
        this.positions = positions;
        this.actions = actions;
    }

    /** Begins a slow start because the endpoint was detected to have started, whatever the endpoint list reports. */
    void startDetected(Endpoint endpoint, long startedAt) {
        endpoint.slowStart.beginDetected(startedAt);
        logBegun(endpoint);
    }

    /**
     * Begins or ends the slow start that follows the listed start of the endpoint; must be called when the listed start
     * or the estimate of the hosts' clock has changed.
     */
    void updateListedStart(long now, Endpoint endpoint) {
        long age = positions.timeSinceStart(now, endpoint.listedStartTime);
        if (age < settings.get().protection().slowStartMicros()) {
            endpoint.slowStart.beginListed(now - age);
            logBegun(endpoint);
        } else {
            endpoint.slowStart.endListed();
        }
    }

    /** Begins a slow start anew if it is over by the previous settings but not by the changed ones. */
    void settingsChanged(long now, Endpoint endpoint) {
        long listed = endpoint.listedStartTime > 0 ? now - positions.timeSinceStart(now, endpoint.listedStartTime) : 0;
        long start = Math.max(endpoint.slowStart.startedAt(), listed);
        boolean warming = start > 0 && now - start < settings.get().protection().slowStartMicros();
        if (warming && !endpoint.slowStart.isActive()) {
            startDetected(endpoint, start);
        }
    }

    /** Logs the slow starts that have ended since the last call. */
    void logEnded(long now) {
        if (!warmingUp.isEmpty()) {
            warmingUp.removeIf(endpoint -> hasEnded(now, endpoint));
        }
    }

    private boolean hasEnded(long now, Endpoint endpoint) {
        SlowStart slowStart = endpoint.slowStart;
        if (slowStart.capacityShare(now, settings.get().protection()) < 1) {
            return false;
        }
        actions.log(String.format(
                Locale.ROOT,
                "slow start %s: over after %.1f s, %d attempts sent, %d requests held back",
                endpoint.name,
                (now - slowStart.startedAt()) / MICROS_PER_SECOND,
                slowStart.attemptsSent(),
                slowStart.requestsHeldBack()));
        return true;
    }

    private void logBegun(Endpoint endpoint) {
        if (!warmingUp.contains(endpoint)) {
            warmingUp.add(endpoint);
        }
        actions.log("slow start " + endpoint.name + ": capacity grows from its start on");
    }
}
