package mintstair.pins;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.UnaryOperator;
import mintstair.pcap.DropCounters;
import mintstair.pcap.Rotation;
import mintstair.pcap.TrafficLog;
import mintstair.registry.SnapshotFile;
import mintstair.registry.view.RegistryEntry;
import mintstair.registry.view.Snapshot;
import mintstair.store.Store;
import mintstair.traffic.RecordedExchange;
import mintstair.traffic.Recording;
import mintstair.traffic.TimeLine;
import mintstair.traffic.TrafficCommand;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Files that the version before has written are read whole, and gone on with. {@link StoredDataWriter} says how they
 * came to be.
 */
class StoredDataTest {
    private static final Map<Integer, Recording.Protocol> PORTS = Map.of(
            StoredData.POSTGRESQL_PORT,
            Recording.Protocol.POSTGRESQL,
            StoredData.MONGODB_PORT,
            Recording.Protocol.MONGODB);

    @TempDir
    Path folder;

    private static Map<String, String> read(Store store, Iterable<String> keys) throws IOException {
        Map<String, String> found = new TreeMap<>();
        for (String key : keys) {
            found.put(key, store.get(key));
        }
        return found;
    }

    /** Reads the store's folder, goes on with it, and reads it once more after a restart. */
    private void readAndGoOn(Path kept, Map<String, String> entries) throws IOException {
        Map<String, InetSocketAddress> members = StoredData.freeMember();
        try (Store store = Store.startMember(StoredData.MEMBER, members, kept)) {
            assertEquals(new TreeMap<>(entries), read(store, entries.keySet()));
            assertNull(store.get("config/key-16"), "no entry that was never there");
            store.put("config/new", "written after");
            store.put("config/key-0", "overwritten");
        }
        Map<String, String> after = new TreeMap<>(entries);
        after.put("config/new", "written after");
        after.put("config/key-0", "overwritten");
        try (Store store = Store.startMember(StoredData.MEMBER, members, kept)) {
            assertEquals(after, read(store, after.keySet()));
        }
    }

    @Test
    void storeIsReadFromItsSnapshotAndLogAndGoesOn() throws IOException {
        Path kept = StoredData.copy(StoredData.STORE, folder);
        assertFalse(StoredData.files(kept, "snapshot.").isEmpty(), "there is a snapshot");
        assertFalse(StoredData.files(kept, "log_").isEmpty(), "there is a log");
        readAndGoOn(kept, StoredData.entries());
        assertTrue(StoredData.files(kept, "bad-").isEmpty(), "the snapshot is not set aside");
    }

    @Test
    void storeIsReadFromItsLogAlone() throws IOException {
        Path kept = StoredData.copy(StoredData.YOUNG_STORE, folder);
        assertTrue(StoredData.files(kept, "snapshot.").isEmpty(), "there is no snapshot");
        readAndGoOn(kept, StoredData.entries());
    }

    /**
     * Without the log, what was there at the last snapshot is there: all keys of the round before the last, and no
     * other.
     */
    @Test
    void storeIsReadFromItsSnapshotAlone() throws IOException {
        Path kept = StoredData.copy(StoredData.STORE, folder);
        for (Path segment : StoredData.files(kept, "log_")) {
            Files.delete(segment);
        }
        Map<String, String> entries = new TreeMap<>(StoredData.round(StoredData.ROUNDS - 1));
        entries.put(StoredData.HOSTS_KEY, null);
        readAndGoOn(kept, entries);
    }

    @Test
    void registrySnapshotIsReadWhole() throws IOException {
        Path kept = StoredData.copy(StoredData.REGISTRY, folder);
        byte[] before = Files.readAllBytes(kept);
        List<String> lines = new ArrayList<>();
        Snapshot read = new SnapshotFile(kept).readOrMoveAside(StoredData.PREFIX, lines::add);
        assertEquals(List.of(), lines);
        Snapshot written = StoredData.registry();
        assertEquals(written.prefix(), read.prefix());
        assertEquals(
                List.of(written.clusterId(), written.revision(), written.term(), written.confirmedAtMicros()),
                List.of(read.clusterId(), read.revision(), read.term(), read.confirmedAtMicros()));
        assertEquals(written.entries().size(), read.entries().size());
        for (int item = 0; item < written.entries().size(); item++) {
            assertItem(written.entries().get(item), read.entries().get(item));
        }
        new SnapshotFile(kept).write(read);
        assertArrayEquals(before, Files.readAllBytes(kept), "written again it is the same");
    }

    private static void assertItem(RegistryEntry written, RegistryEntry read) {
        assertEquals(written.key(), read.key());
        assertArrayEquals(written.value(), read.value(), written.key());
        assertEquals(
                List.of(written.createRevision(), written.modRevision()),
                List.of(read.createRevision(), read.modRevision()),
                written.key());
    }

    private static List<RecordedExchange> exchanges(List<Path> files) throws IOException {
        List<RecordedExchange> found = new ArrayList<>();
        DropCounters drops = new DropCounters();
        Recording.read(files, false, () -> new TimeLine(Long.MAX_VALUE), PORTS, drops, found::add);
        assertEquals("", drops.toString(), "nothing is lost in reading");
        return found;
    }

    private static void assertExchanges(String name, List<Path> files) throws IOException {
        assertEquals(
                Names.expected("/" + StoredData.FOLDER + "/" + name),
                exchanges(files).stream().map(StoredData::line).toList());
    }

    @Test
    void rotatedRecordingIsReadAsOne() throws IOException {
        List<Path> files = StoredData.files(StoredData.copy(StoredData.ROTATED, folder), "traffic-");
        assertTrue(files.size() > 2, files.toString());
        assertExchanges("traffic.txt", files);
    }

    @Test
    void rotatedRecordingWithDigestsIsReadAsOne() throws IOException {
        assertExchanges(
                "traffic-digested.txt", StoredData.files(StoredData.copy(StoredData.DIGESTED, folder), "traffic-"));
    }

    @Test
    void recordingInOneFileIsRead() throws IOException {
        assertExchanges("clients.txt", List.of(StoredData.copy(StoredData.SINGLE, folder)));
    }

    /**
     * There is no index beside the files: their names tell the order, and the oldest of an earlier run give way to a
     * new one's.
     */
    @Test
    void rotatedFilesOfAnEarlierRunAreKnownAndGiveWayFromTheOldestOn() throws IOException {
        Path kept = StoredData.copy(StoredData.ROTATED, folder);
        List<Path> before = StoredData.files(kept, "traffic-");
        long newest = Files.size(before.get(before.size() - 1));
        try (TrafficLog log = new TrafficLog(
                kept, new Rotation(1_500, 1L << 40, 1_500 + newest), 1 << 20, () -> 1_800_000_000_000_000L)) {
            log.begin(
                            new InetSocketAddress("127.0.0.1", 40_003),
                            new InetSocketAddress("127.0.0.1", StoredData.POSTGRESQL_PORT),
                            UnaryOperator::identity,
                            UnaryOperator::identity,
                            false)
                    .sent(true, new byte[100]);
        }
        List<Path> after = StoredData.files(kept, "traffic-");
        assertEquals(List.of(before.get(before.size() - 1), kept.resolve("traffic-20270115-080000-000.pcap")), after);
    }

    @Test
    void exchangeLinesAreTheSame() throws IOException {
        List<String> words =
                new ArrayList<>(List.of("convert", "--mongodb-port", "" + StoredData.MONGODB_PORT, "--to", "-"));
        StoredData.files(StoredData.copy(StoredData.ROTATED, folder), "traffic-")
                .forEach(file -> words.add(file.toString()));
        StringWriter lines = new StringWriter();
        assertEquals(0, TrafficCommand.run(words, new PrintWriter(lines)));
        assertEquals(
                Files.readAllLines(StoredData.copy(StoredData.EXCHANGES, folder)),
                lines.toString().lines().toList());
    }
}
