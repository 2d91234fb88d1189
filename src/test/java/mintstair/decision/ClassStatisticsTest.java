package mintstair.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Latency statistics and priorities of request classes. */
class ClassStatisticsTest {
    private static final long MS = RouterFixture.MS;

    private static RequestClassTable table() {
        RequestClassTable classes = new RequestClassTable();
        classes.apply(new RouterFixture().settings());
        return classes;
    }

    @Test
    void latencyIsAssumedFromTheObjectiveAndThenLearned() {
        ClassStatistics statistics = table().get(RouterFixture.EVENTUAL_READ);
        assertEquals(50 * MS, statistics.meanLatency());
        for (int i = 0; i < 500; i++) {
            statistics.recordLatency(20 * MS);
        }
        assertEquals(20 * MS, statistics.meanLatency(), MS);
        assertEquals(20 * MS, statistics.meanPlusDeviations(2), MS);
    }

    @Test
    void priorityIsTheWeightForEachMicrosecondOfTheObjective() {
        RequestClassTable classes = table();
        assertEquals(1, classes.get(RouterFixture.EVENTUAL_READ).priority());
        assertEquals(
                (2.0 / 600) / (3.0 / 250),
                classes.get(RouterFixture.BOUNDED_READ).priority(),
                1e-9);
    }

    @Test
    void writesMayFillAWholeLimitAndReadsAPartByPriority() {
        RequestClassTable classes = table();
        assertEquals(1, classes.get(RouterFixture.NON_IDEMPOTENT_WRITE).capacityShare());
        assertEquals(1, classes.get(RouterFixture.EVENTUAL_READ).capacityShare());
        double share = classes.get(RouterFixture.BOUNDED_READ).capacityShare();
        assertTrue(share > 0.8 && share < 1, "capacity share " + share);
    }

    @Test
    void learnedLatencyStaysWithTheClassUnderOtherSettings() {
        RequestClassTable classes = table();
        for (int i = 0; i < 500; i++) {
            classes.get(RouterFixture.EVENTUAL_READ).recordLatency(20 * MS);
        }
        classes.apply(new RouterFixture().settings());
        assertEquals(20 * MS, classes.get(RouterFixture.EVENTUAL_READ).meanLatency(), MS);
    }

    @Test
    void tightestStalenessIsThatOfTheBoundedReads() {
        assertEquals(200 * MS, table().tightestStaleness());
    }
}
