package mintstair.registry;

import org.junit.jupiter.api.Test;

/**
 * Runs views against a model of the registry in virtual time, with random schedules of changes and failures.
 *
 * <p>After every step, the reported hosts must equal those of one revision of the registry, never part of a
 * transaction; no change may be reported twice or be missed; no older state may be reported unless the registry was
 * restored; and at most one call may be in progress. Within 2 s of virtual time after the failures end, the view must
 * match the registry, although one server may stay silent and one may keep lagging.
 */
class ViewScheduleTest {
    private static final int SEEDS = 120;

    @Test
    void watchViewMatchesTheRegistryAfterEverySchedule() {
        for (int seed = 0; seed < SEEDS; seed++) {
            new ViewSimulation(seed, true).run();
        }
    }

    @Test
    void pollViewMatchesTheRegistryAfterEverySchedule() {
        for (int seed = 0; seed < SEEDS / 2; seed++) {
            new ViewSimulation(seed, false).run();
        }
    }
}
