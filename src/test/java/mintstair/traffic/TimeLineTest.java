package mintstair.traffic;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class TimeLineTest {
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final long HOUR = TimeUnit.HOURS.toNanos(1);

    @Example
    void clockThatIsSetBackGoesOnFromWhereItWas() {
        TimeLine timeLine = new TimeLine(Long.MAX_VALUE);

        assertEquals(5 * HOUR, timeLine.toMonotonic(5 * HOUR));
        assertEquals(5 * HOUR + 7 * MILLI, timeLine.toMonotonic(5 * HOUR + 7 * MILLI));
        assertEquals(5 * HOUR + 7 * MILLI, timeLine.toMonotonic(2 * HOUR));
        assertEquals(5 * HOUR + 9 * MILLI, timeLine.toMonotonic(2 * HOUR + 2 * MILLI), "later distances are kept");
        assertEquals(1, timeLine.clockSetBacks());
        assertEquals("set_back=1 by_ms=" + (3 * 3_600_000 + 7), timeLine.repairs());
    }

    @Example
    void framesALittleOutOfOrderDoNotCountAsClockSetBack() {
        TimeLine timeLine = new TimeLine(Long.MAX_VALUE);

        timeLine.toMonotonic(100 * MILLI);
        assertEquals(100 * MILLI, timeLine.toMonotonic(95 * MILLI));
        assertEquals(101 * MILLI, timeLine.toMonotonic(101 * MILLI), "what follows is not moved");
        assertEquals(101 * MILLI, timeLine.toMonotonic(101 * MILLI));
        assertEquals("out_of_order=1 same_time=1", timeLine.repairs());
    }

    @Example
    void longGapsAreShortened() {
        TimeLine timeLine = new TimeLine(1_000 * MILLI);

        timeLine.toMonotonic(0);
        assertEquals(1_000 * MILLI, timeLine.toMonotonic(4 * HOUR));
        assertEquals(1_500 * MILLI, timeLine.toMonotonic(4 * HOUR + 500 * MILLI));
        assertEquals(1, timeLine.shortenedGaps());
    }

    @Example
    void maximumGapOfZeroIsRejected() {
        assertThrows(IllegalArgumentException.class, () -> new TimeLine(0));
    }

    /**
     * Whatever the clock does, the line never goes back, and between two repairs it keeps distances to the
     * nanosecond.
     */
    @Property(seed = "8", tries = 500)
    void isMonotonicAndKeepsDistances(@ForAll Random random) {
        TimeLine timeLine = new TimeLine(HOUR);
        long recorded = HOUR * 100;
        long before = timeLine.toMonotonic(recorded);
        for (int i = 0; i < 300; i++) {
            long step = randomStep(random);
            recorded += step;

            long mapped = timeLine.toMonotonic(recorded);

            assertTrue(mapped >= before, "went back");
            assertEquals(step < 0 ? 0 : Math.min(step, HOUR), mapped - before);
            before = mapped;
        }
    }

    private static long randomStep(Random random) {
        return switch (random.nextInt(8)) {
            case 0 -> -random.nextInt(2_000_000_000) - TimeLine.MAX_REORDERING_NANOS - 1;
            case 1 -> HOUR + random.nextInt(1_000_000_000);
            case 2 -> 0;
            default -> random.nextInt(50_000_000);
        };
    }
}
