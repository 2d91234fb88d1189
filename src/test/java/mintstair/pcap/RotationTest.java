package mintstair.pcap;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class RotationTest {
    @Test
    void rotatesBySizeAgeAndTotal() {
        Rotation rotation = new Rotation(100, 1_000, 250);
        rotation.addClosedFile("old1", 90);
        rotation.addClosedFile("old2", 60);
        assertTrue(rotation.isDue(0, 1), "there is no file yet");

        rotation.fileStarted("a", 0);
        assertEquals(List.of(), rotation.removeExcessFiles());
        rotation.bytesWritten(80);
        assertFalse(rotation.isDue(999, 20));
        assertTrue(rotation.isDue(999, 21));
        assertTrue(rotation.isDue(1_000, 1));

        rotation.fileStarted("b", 1_000);
        assertEquals(List.of("old1"), rotation.removeExcessFiles(), "the new file and all that is kept fit the total");
        assertFalse(rotation.isDue(1_001, 500), "a record that is larger than a file has a file of its own");
        rotation.bytesWritten(500);

        rotation.fileStarted("c", 2_000);
        assertEquals(List.of("old2", "a", "b"), rotation.removeExcessFiles());
    }

    @Test
    void totalBelowOneFileIsRejected() {
        assertThrows(IllegalArgumentException.class, () -> new Rotation(100, 1, 99));
    }
}
