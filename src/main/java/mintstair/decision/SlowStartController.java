package mintstair.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Supplier;

/**
 * Decides when an endpoint is in slow start: after its start by the endpoint list, or after it was found to have come
 * back. Times are microseconds. Not safe for use by several threads.
 */
final class SlowStartController {
    private static final double MICROS_PER_SECOND = 1e6;

    private final Supplier<RouterSettings> settings;
    private final PositionClock positions;
    private final RouterActions actions;
    /** The endpoints whose slow start has not been seen to end. */
    private final List<Endpoint> warmingUp = new ArrayList<>();

    SlowStartController(Supplier<RouterSettings> settings, PositionClock positions, RouterActions actions) {
        this.settings = settings;
        this.positions = positions;
        this.actions = actions;
    }

    /** The endpoint was found to have started at this time, whatever the endpoint list says. */
    void startDetected(Endpoint endpoint, long startedAt) {
        endpoint.slowStart.found(startedAt);
        begun(endpoint);
    }

    /** Judges the start by the endpoint list; due when that, or what is known of the hosts' clock, has changed. */
    void updateListedStart(long now, Endpoint endpoint) {
        long age = positions.timeSinceStart(now, endpoint.listedStartTime);
        if (age < settings.get().protection().slowStartMicros()) {
            endpoint.slowStart.listed(now - age);
            begun(endpoint);
        } else {
            endpoint.slowStart.listedAsWarm();
        }
    }

    /** Other settings hold: they may ask for a longer slow start than the one that is over. */
    void settingsChanged(long now, Endpoint endpoint) {
        long listed = endpoint.listedStartTime > 0 ? now - positions.timeSinceStart(now, endpoint.listedStartTime) : 0;
        long start = Math.max(endpoint.slowStart.since(), listed);
        boolean warming = start > 0 && now - start < settings.get().protection().slowStartMicros();
        if (warming && !endpoint.slowStart.isActive()) {
            startDetected(endpoint, start);
        }
    }

    /** Reports the slow starts that are over; due from time to time. */
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
                (now - slowStart.since()) / MICROS_PER_SECOND,
                slowStart.attemptsSent(),
                slowStart.requestsHeldBack()));
        return true;
    }

    private void begun(Endpoint endpoint) {
        if (!warmingUp.contains(endpoint)) {
            warmingUp.add(endpoint);
        }
        actions.log("slow start " + endpoint.name + ": capacity grows from its start on");
    }
}
