package mintstair.registry;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import mintstair.files.AtomicFile;
import mintstair.program.Program;
import mintstair.registry.view.RegistryEntry;
import mintstair.registry.view.Snapshot;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class SnapshotFileTest {
    private static final String PREFIX = "reg/";
    private static final int MANY_HOSTS = 2_000;

    @TempDir
    Path folder;

    private Path path;
    private SnapshotFile file;
    private final List<String> log = new ArrayList<>();

    @BeforeEach
    void createFile() {
        path = folder.resolve("s");
        file = new SnapshotFile(path);
    }

    private static Snapshot snapshot(long revision, int hosts) {
        List<RegistryEntry> entries = new ArrayList<>();
        for (int i = 0; i < hosts; i++) {
            entries.add(new RegistryEntry(PREFIX + "h" + i, valueAt(revision), i, revision));
        }
        return new Snapshot(PREFIX, 7, revision, 3, 1234, entries);
    }

    private static byte[] valueAt(long revision) {
        return ("value " + revision).getBytes(StandardCharsets.UTF_8);
    }

    /** Entry point of the writer process, which writes snapshots one after another until it is killed. */
    public static void main(String[] args) throws IOException {
        SnapshotFile file = new SnapshotFile(Path.of(args[0]));
        for (long revision = 1; ; revision++) {
            file.write(snapshot(revision, MANY_HOSTS));
        }
    }

    @Test
    void readReturnsWhatWasWritten() throws IOException {
        file.write(snapshot(5, 3));

        Snapshot read = file.readOrMoveAside(PREFIX, line -> {});

        assertEquals(7, read.clusterId());
        assertEquals(5, read.revision());
        assertEquals(3, read.term());
        assertEquals(1234, read.confirmedAtMicros());
        assertEquals("reg/h2", read.entries().get(2).key());
        assertArrayEquals(valueAt(5), read.entries().get(2).value());
    }

    /** Tries the file truncated after each byte, with each byte changed, and with one byte appended. */
    @Test
    void corruptFileIsMovedAsideAndNotUsed() throws IOException {
        file.write(snapshot(5, 2));
        List<byte[]> corruptContents = corrupt(Files.readAllBytes(path));

        for (byte[] content : corruptContents) {
            Files.write(path, content);
            log.clear();
            assertNull(file.readOrMoveAside(PREFIX, log::add));
            assertEquals(1, log.size());
            assertFalse(Files.exists(path));
        }

        byte[] last = corruptContents.get(corruptContents.size() - 1);
        assertArrayEquals(last, Files.readAllBytes(folder.resolve("s.bad")));
    }

    private static List<byte[]> corrupt(byte[] valid) {
        List<byte[]> contents = new ArrayList<>();
        for (int i = 0; i < valid.length; i++) {
            contents.add(Arrays.copyOf(valid, i));
            byte[] changed = valid.clone();
            changed[i] ^= 0x40;
            contents.add(changed);
        }
        contents.add(Arrays.copyOf(valid, valid.length + 1));
        return contents;
    }

    @Test
    void fileOfAnotherFormatIsNotUsed() throws IOException {
        file.write(snapshot(5, 2));
        byte[] olderFormat = Files.readAllBytes(path);
        olderFormat["mintstair registry\n".length() + 3] = 0;
        Files.write(path, olderFormat);

        file.readOrMoveAside(PREFIX, log::add);

        assertTrue(log.get(0).endsWith("its format is 0, not 1"), log.get(0));
    }

    @Test
    void fileOfAnotherPrefixIsNotUsed() throws IOException {
        file.write(snapshot(5, 2));

        assertNull(file.readOrMoveAside("other/", log::add));

        assertTrue(log.get(0).endsWith("it is of the prefix reg/"), log.get(0));
    }

    /** Kills the writer at different points of a write; the file must always be complete. */
    @Test
    void fileIsCompleteAfterTheWriterIsKilled() throws Exception {
        for (int i = 0; i < 5; i++) {
            killWriterAfter(1 + i * 15_000L);

            Snapshot read = file.readOrMoveAside(PREFIX, log::add);

            assertNotNull(read, log.toString());
            assertEquals(MANY_HOSTS, read.entries().size());
            for (RegistryEntry entry : read.entries()) {
                assertArrayEquals(valueAt(read.revision()), entry.value());
            }
        }
    }

    /**
     * The two processes of an upgrade write the same file. Guards against a file of which each has written a part, and
     * against a writer that fails because the other one has renamed its file.
     */
    @Test
    void fileIsCompleteWhileTwoProcessesWriteIt() throws Exception {
        Process first = startWriter();
        Process second = startWriter();
        try {
            Program.await(() -> Files.exists(path), "the first snapshot");
            for (int i = 0; i < 300; i++) {
                assertNotNull(file.read(PREFIX));
            }
            assertTrue(first.isAlive() && second.isAlive(), "both go on writing");
        } finally {
            first.destroyForcibly().waitFor();
            second.destroyForcibly().waitFor();
        }
    }

    private Process startWriter() throws IOException {
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        return new ProcessBuilder(
                        java,
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-cp",
                        System.getProperty("java.class.path"),
                        SnapshotFileTest.class.getName(),
                        path.toString())
                .redirectErrorStream(true)
                .start();
    }

    /** Kills a writer once its new file has at least the given number of bytes, before it replaces the old file. */
    private void killWriterAfter(long bytes) throws Exception {
        Process writer = startWriter();
        Path newFile = AtomicFile.temporary(path, writer.pid());
        Program.await(() -> Files.exists(path) && sizeOf(newFile) >= bytes, "a partly written file");
        writer.destroyForcibly().waitFor();
    }

    private static long sizeOf(Path file) {
        try {
            return Files.size(file);
        } catch (IOException e) {
            return -1;
        }
    }
}
