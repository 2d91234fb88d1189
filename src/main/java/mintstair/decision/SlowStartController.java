package mintstair.decision;

import java.util.function.Supplier;

/**
 * Decides when an endpoint is in slow start: after its start by the endpoint list, or after it was found to have come
 * back. Times are microseconds. Not safe for use by several threads.
 */
final class SlowStartController {
    private final Supplier<RouterSettings> settings;
    private final PositionClock positions;
    private final RouterActions actions;

    SlowStartController(Supplier<RouterSettings> settings, PositionClock positions, RouterActions actions) {
        this.settings = settings;
        this.positions = positions;
        this.actions = actions;
    }

    /** The endpoint was found to have started at this time, whatever the endpoint list says. */
    void found(Endpoint endpoint, long startedAt) {
        endpoint.slowStart.found(startedAt);
        log(endpoint);
    }

    /** Judges the start by the endpoint list; due when that, or what is known of the hosts' clock, has changed. */
    void judgeListedStart(long now, Endpoint endpoint) {
        long age = positions.startedAgo(now, endpoint.listedStart);
        if (age < settings.get().protection().slowStartMicros()) {
            endpoint.slowStart.listed(now - age);
            log(endpoint);
        } else {
            endpoint.slowStart.listedAsWarm();
        }
    }

    /** Other settings hold: they may ask for a longer slow start than the one that is over. */
    void settingsChanged(long now, Endpoint endpoint) {
        long listed = endpoint.listedStart > 0 ? now - positions.startedAgo(now, endpoint.listedStart) : 0;
        long start = Math.max(endpoint.slowStart.since(), listed);
        boolean warming = start > 0 && now - start < settings.get().protection().slowStartMicros();
        if (warming && !endpoint.slowStart.isActive()) {
            found(endpoint, start);
        }
    }

    private void log(Endpoint endpoint) {
        actions.log("slow start " + endpoint.name + ": capacity grows from its start on");
    }
}
