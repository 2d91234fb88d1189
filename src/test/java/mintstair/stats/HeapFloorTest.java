package mintstair.stats;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class HeapFloorTest {
    /** Garbage between two collections does not count, and growth shows in the next period: the minimum starts anew. */
    @Test
    void eachPeriodHasItsOwnMinimum() {
        HeapFloor floor = new HeapFloor();
        assertEquals(0, floor.take());

        for (long used : new long[] {9_000, 14_000, 7_000, 12_000}) {
            floor.sample(used);
        }
        assertEquals(7_000, floor.take());

        floor.sample(11_000);
        floor.sample(15_000);
        assertEquals(11_000, floor.take(), "the live objects grew");
    }
}
