package mintstair.stats;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class MetricsSnapshotTest {
    @Test
    void valuesOfTheSameNameAreSummedInTheOrderOfFirstAddition() {
        MetricsSnapshot snapshot = new MetricsSnapshot.Builder()
                .add("attempts", 2)
                .add("in_flight", 1)
                .add("attempts", 3)
                .build();

        assertEquals("svc.attempts=5\nsvc.in_flight=1\n", snapshot.toString());
    }

    @Test
    void unknownMetricHasTheValueZero() {
        assertEquals(0, new MetricsSnapshot.Builder().build().value("attempts"));
    }

    @Test
    void laterAdditionsToTheBuilderDoNotChangeASnapshot() {
        MetricsSnapshot.Builder builder = new MetricsSnapshot.Builder().add("attempts", 1);
        MetricsSnapshot snapshot = builder.build();

        builder.add("attempts", 1);

        assertEquals(1, snapshot.value("attempts"));
    }
}
