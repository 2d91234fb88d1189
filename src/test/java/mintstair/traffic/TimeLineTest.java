package mintstair.traffic;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class TimeLineTest {
    private static final long MS = 1_000_000;
    private static final long HOUR = 3_600_000 * MS;

    @Example
    void aClockSetBackGoesOnFromWhereItWas() {
        TimeLine line = new TimeLine(Long.MAX_VALUE);
        assertEquals(5 * HOUR, line.place(5 * HOUR));
        assertEquals(5 * HOUR + 7 * MS, line.place(5 * HOUR + 7 * MS));
        assertEquals(5 * HOUR + 7 * MS, line.place(2 * HOUR));
        assertEquals(5 * HOUR + 9 * MS, line.place(2 * HOUR + 2 * MS), "distances behind it are kept");
        assertEquals(1, line.setBack());
        assertEquals("set_back=1 by_ms=" + (3 * 3_600_000 + 7), line.repaired());
    }

    @Example
    void framesALittleOutOfOrderAreNoClockThatWasSet() {
        TimeLine line = new TimeLine(Long.MAX_VALUE);
        line.place(100 * MS);
        assertEquals(100 * MS, line.place(95 * MS));
        assertEquals(101 * MS, line.place(101 * MS), "what follows is not moved");
        assertEquals(101 * MS, line.place(101 * MS));
        assertEquals("out_of_order=1 same_time=1", line.repaired());
    }

    @Example
    void gapsAreShortenedToTheLongest() {
        TimeLine line = new TimeLine(1_000 * MS);
        line.place(0);
        assertEquals(1_000 * MS, line.place(4 * HOUR));
        assertEquals(1_500 * MS, line.place(4 * HOUR + 500 * MS));
        assertEquals(1, line.gaps());
        assertThrows(IllegalArgumentException.class, () -> new TimeLine(0));
    }

    /** Whatever the clock does, the line never goes back, and between two repairs it keeps the distances to the nanosecond. */
    @Property(seed = "8", tries = 500)
    void theLineIsMonotoneAndKeepsDistances(@ForAll Random dice) {
        TimeLine line = new TimeLine(HOUR);
        long recorded = HOUR * 100;
        long before = line.place(recorded);
        for (int i = 0; i < 300; i++) {
            long step = switch (dice.nextInt(8)) {
                case 0 -> -dice.nextInt(2_000_000_000) - TimeLine.JITTER - 1;
                case 1 -> HOUR + dice.nextInt(1_000_000_000);
                case 2 -> 0;
                default -> dice.nextInt(50_000_000);
            };
            recorded += step;
            long at = line.place(recorded);
            assertTrue(at >= before, "went back");
            assertEquals(step < 0 ? 0 : Math.min(step, HOUR), at - before);
            before = at;
        }
    }
}
