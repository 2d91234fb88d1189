package mintstair.store;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;
import org.apache.ratis.util.MD5FileUtil;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class StoreSnapshotTest {
    private static final Map<String, String> ENTRIES = new TreeMap<>(Map.of("a", "one", "b", "\u00e4"));
    /** The file of these entries; the value of "b" has two bytes in UTF-8. */
    private static final byte[] FILE_BYTES = {
        0, 0, 0, 2, 0, 0, 0, 1, 'a', 0, 0, 0, 3, 'o', 'n', 'e', 0, 0, 0, 1, 'b', 0, 0, 0, 2, (byte) 0xc3, (byte) 0xa4
    };

    @TempDir
    private Path directory;

    private Path snapshot() {
        return directory.resolve("snapshot.1_7");
    }

    @Test
    void writesTheFileFormatAndTheDigest() throws IOException {
        StoreSnapshot.write(snapshot().toFile(), ENTRIES);

        assertArrayEquals(FILE_BYTES, Files.readAllBytes(snapshot()));
        assertEquals(
                MD5FileUtil.computeMd5ForFile(snapshot().toFile()),
                MD5FileUtil.readStoredMd5ForFile(snapshot().toFile()));
    }

    @Test
    void readsTheFileFormat() throws IOException {
        Files.write(snapshot(), FILE_BYTES);

        assertEquals(ENTRIES, StoreSnapshot.read(snapshot()));
    }

    @Test
    void keepsACompleteSnapshot() throws IOException {
        StoreSnapshot.write(snapshot().toFile(), ENTRIES);

        StoreSnapshot.quarantineIncomplete(directory);

        assertEquals(ENTRIES, StoreSnapshot.read(snapshot()));
    }

    @Test
    void renamesASnapshotWithoutADigest() throws IOException {
        Files.write(snapshot(), FILE_BYTES);

        StoreSnapshot.quarantineIncomplete(directory);

        assertFalse(Files.exists(snapshot()));
        assertTrue(Files.exists(directory.resolve("bad-snapshot.1_7")));
    }

    @Test
    void renamesASnapshotThatDiffersFromItsDigest() throws IOException {
        StoreSnapshot.write(snapshot().toFile(), ENTRIES);
        Files.write(snapshot(), new byte[] {0, 0, 0, 2, 0});

        StoreSnapshot.quarantineIncomplete(directory);

        assertFalse(Files.exists(snapshot()));
        assertTrue(Files.exists(directory.resolve("bad-snapshot.1_7")));
    }

    @Test
    void ignoresADirectoryThatDoesNotExist() throws IOException {
        Path missing = directory.resolve("sm");

        StoreSnapshot.quarantineIncomplete(missing);

        assertFalse(Files.exists(missing));
    }
}
