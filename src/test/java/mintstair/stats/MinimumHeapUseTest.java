package mintstair.stats;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class MinimumHeapUseTest {
    /** Garbage between two collections must not count; without the reset, growth of the live objects would not show. */
    @Test
    void eachPeriodHasItsOwnMinimum() {
        MinimumHeapUse heapUse = new MinimumHeapUse();
        assertEquals(0, heapUse.getAndReset());

        for (long used : new long[] {9_000, 14_000, 7_000, 12_000}) {
            heapUse.sample(used);
        }
        assertEquals(7_000, heapUse.getAndReset());

        heapUse.sample(11_000);
        heapUse.sample(15_000);
        assertEquals(11_000, heapUse.getAndReset(), "the minimum must reflect the growth of the live objects");
    }
}
