package mintstair.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Latency statistics and priorities of request classes. */
class ClassStatisticsTest {
    private static final long MS = Bed.MS;

    private static RequestClassTable table() {
        RequestClassTable classes = new RequestClassTable();
        classes.apply(new Bed().settings());
        return classes;
    }

    @Test
    void latencyIsAssumedFromTheObjectiveAndThenLearned() {
        ClassStatistics statistics = table().get(Bed.ANY);
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
        assertEquals(1, classes.get(Bed.ANY).priority());
        assertEquals((2.0 / 600) / (3.0 / 250), classes.get(Bed.BOUNDED).priority(), 1e-9);
    }

    @Test
    void writesMayFillAWholeLimitAndReadsAPartByPriority() {
        RequestClassTable classes = table();
        assertEquals(1, classes.get(Bed.UNSAFE_WRITE).capacityShare());
        assertEquals(1, classes.get(Bed.ANY).capacityShare());
        double share = classes.get(Bed.BOUNDED).capacityShare();
        assertTrue(share > 0.8 && share < 1, "capacity share " + share);
    }

    @Test
    void learnedLatencyStaysWithTheClassUnderOtherSettings() {
        RequestClassTable classes = table();
        for (int i = 0; i < 500; i++) {
            classes.get(Bed.ANY).recordLatency(20 * MS);
        }
        classes.apply(new Bed().settings());
        assertEquals(20 * MS, classes.get(Bed.ANY).meanLatency(), MS);
    }

    @Test
    void tightestStalenessIsThatOfTheBoundedReads() {
        assertEquals(200 * MS, table().tightestStaleness());
    }
}
