package mintstair.registry;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import mintstair.program.Program;
import mintstair.registry.view.Item;
import mintstair.registry.view.Snapshot;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class SnapshotFileTest {
    @TempDir
    Path folder;

    private static Snapshot snapshot(long revision, int hosts) {
        List<Item> items = new ArrayList<>();
        for (int i = 0; i < hosts; i++) {
            items.add(new Item("reg/h" + i, ("value " + revision).getBytes(UTF_8), i, revision));
        }
        return new Snapshot("reg/", 7, revision, 3, 1234, items);
    }

    /** Writes one snapshot after the other until it is killed. */
    public static void main(String[] args) throws IOException {
        SnapshotFile file = new SnapshotFile(Path.of(args[0]));
        for (long revision = 1; ; revision++) {
            file.write(snapshot(revision, 2_000));
        }
    }

    @Test
    void whatIsReadIsWhatWasWritten() throws IOException {
        SnapshotFile file = new SnapshotFile(folder.resolve("s"));
        file.write(snapshot(5, 3));
        Snapshot read = file.read("reg/", line -> {});
        assertEquals(7, read.cluster());
        assertEquals(5, read.revision());
        assertEquals(3, read.term());
        assertEquals(1234, read.heard());
        assertEquals("reg/h2", read.items().get(2).key());
        assertArrayEquals("value 5".getBytes(UTF_8), read.items().get(2).value());
    }

    /** Torn after any byte, changed in any byte, longer, of another format, or of another prefix: set aside with one line. */
    @Test
    void whatIsNotWholeIsSetAsideAndNeverTrusted() throws IOException {
        Path path = folder.resolve("s");
        SnapshotFile file = new SnapshotFile(path);
        file.write(snapshot(5, 2));
        byte[] whole = Files.readAllBytes(path);
        List<byte[]> spoilt = new ArrayList<>();
        for (int i = 0; i < whole.length; i++) {
            spoilt.add(java.util.Arrays.copyOf(whole, i));
            byte[] changed = whole.clone();
            changed[i] ^= 0x40;
            spoilt.add(changed);
        }
        spoilt.add(java.util.Arrays.copyOf(whole, whole.length + 1));
        List<String> lines = new ArrayList<>();
        for (byte[] each : spoilt) {
            Files.write(path, each);
            lines.clear();
            assertNull(file.read("reg/", lines::add));
            assertEquals(1, lines.size());
            assertFalse(Files.exists(path));
        }
        assertArrayEquals(spoilt.get(spoilt.size() - 1), Files.readAllBytes(folder.resolve("s.bad")));
        byte[] older = whole.clone();
        older["mintstair registry\n".length() + 3] = 0;
        Files.write(path, older);
        file.read("reg/", lines::add);
        assertTrue(lines.get(1).endsWith("its format is 0, not 1"), lines.get(1));
        Files.write(path, whole);
        assertNull(file.read("other/", lines::add));
        assertTrue(lines.get(2).endsWith("it is of the prefix reg/"), lines.get(2));
    }

    /** Killed at whatever it is at, over and over: what is left is always a whole one. */
    @Test
    void aKillLeavesTheOldOrTheNewOne() throws Exception {
        Path path = folder.resolve("s");
        for (int i = 0; i < 5; i++) {
            Process writer = new ProcessBuilder(
                            Path.of(System.getProperty("java.home"), "bin", "java")
                                    .toString(),
                            "-XX:+UseSerialGC",
                            "-XX:TieredStopAtLevel=1",
                            "-cp",
                            System.getProperty("java.class.path"),
                            SnapshotFileTest.class.getName(),
                            path.toString())
                    .redirectErrorStream(true)
                    .start();
            Path beside = folder.resolve("s.new");
            long size = 1 + i * 15_000L;
            // Caught while the new file holds more than so many bytes and is not in its place yet.
            Program.await(() -> Files.exists(path) && sizeOf(beside) >= size, "a file half written");
            writer.destroyForcibly().waitFor();
            List<String> lines = new ArrayList<>();
            Snapshot read = new SnapshotFile(path).read("reg/", lines::add);
            assertNotNull(read, lines.toString());
            assertEquals(2_000, read.items().size());
            read.items().forEach(item -> assertArrayEquals(("value " + read.revision()).getBytes(UTF_8), item.value()));
        }
    }

    private static long sizeOf(Path file) {
        try {
            return Files.size(file);
        } catch (IOException e) {
            return -1;
        }
    }
}
