package mintstair.pcap;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class SamplerTest {
    @Test
    void samplesTheirShareAndTheSameForOneSeed() {
        int sampled = 0;
        for (int connection = 0; connection < 100_000; connection++) {
            boolean isSampled = new Sampler(0.1, 7).isSampled(connection);
            sampled += isSampled ? 1 : 0;
            assertEquals(isSampled, new Sampler(0.1, 7).isSampled(connection));
        }
        assertTrue(Math.abs(sampled - 10_000) < 400, sampled + " of 100,000");
    }

    @Test
    void shareOfOneSamplesAllAndOfZeroNone() {
        assertTrue(new Sampler(1, 3).isSampled(5));
        assertFalse(new Sampler(0, 3).isSampled(5));
    }

    @Test
    void shareAboveOneIsRejected() {
        assertThrows(IllegalArgumentException.class, () -> new Sampler(1.1, 1));
    }
}
