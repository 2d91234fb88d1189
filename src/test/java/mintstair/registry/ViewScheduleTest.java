package mintstair.registry;

import org.junit.jupiter.api.Test;

/**
 * Random schedules of changes and failures over the views alone, in virtual time, against a model of the registry.
 * After every step, what the view has reported is exactly what one revision of the registry held, never half a
 * transaction; no change is reported twice and none is missed; nothing goes back but with the registry itself; at most
 * one call is in progress. Within 2 s of virtual time after the failures end the view matches the registry, though one
 * server stays silent and one keeps lagging.
 */
class ViewScheduleTest {
    private static final int SEEDS = 120;

    @Test
    void watchedViewMatchesAfterEverySchedule() {
        for (int seed = 0; seed < SEEDS; seed++) {
            new ViewSimulation(seed, true).run();
        }
    }

    @Test
    void polledViewMatchesAfterEverySchedule() {
        for (int seed = 0; seed < SEEDS / 2; seed++) {
            new ViewSimulation(seed, false).run();
        }
    }
}
