package mintstair.store;

import java.io.BufferedOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.File;
import java.io.FileOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.apache.ratis.io.MD5Hash;
import org.apache.ratis.statemachine.impl.SimpleStateMachineStorage;
import org.apache.ratis.util.MD5FileUtil;

/**
 * Snapshots of the entries as files, each with its MD5 digest in a file beside it.
 *
 * <p>Layout, all numbers big-endian: number of entries (4 bytes), then for each entry key and value, each as its length
 * in bytes (4) and UTF-8.
 */
final class StoreSnapshot {
    /** Not the name of a snapshot, so that one which a crash left incomplete is never read. */
    private static final String TEMPORARY_NAME = "unfinished";

    private static final String QUARANTINE_PREFIX = "bad-";

    private StoreSnapshot() {}

    static Map<String, String> read(Path file) throws IOException {
        Map<String, String> entries = new TreeMap<>();
        try (DataInputStream in = new DataInputStream(Files.newInputStream(file))) {
            for (int remaining = in.readInt(); remaining > 0; remaining--) {
                String key = readText(in);
                entries.put(key, readText(in));
            }
        }
        return entries;
    }

    /**
     * Writes a snapshot so that after a crash either the whole file or none has its name.
     *
     * @return the digest of the file
     */
    static MD5Hash write(File file, Map<String, String> entries) throws IOException {
        Path temporary = file.toPath().resolveSibling(TEMPORARY_NAME);
        writeAndSync(temporary, entries);
        // The digest comes first: without it the snapshot would count as incomplete.
        MD5Hash digest = MD5FileUtil.computeMd5ForFile(temporary.toFile());
        MD5FileUtil.saveMD5File(file, digest);
        Files.move(temporary, file.toPath(), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        return digest;
    }

    private static void writeAndSync(Path file, Map<String, String> entries) throws IOException {
        try (FileOutputStream fileStream = new FileOutputStream(file.toFile());
                DataOutputStream out = new DataOutputStream(new BufferedOutputStream(fileStream))) {
            out.writeInt(entries.size());
            for (Map.Entry<String, String> entry : entries.entrySet()) {
                writeText(out, entry.getKey());
                writeText(out, entry.getValue());
            }
            out.flush();
            fileStream.getFD().sync();
        }
    }

    /**
     * Renames snapshots whose digest is missing or wrong, so that they are not read. What was in them is in the log or
     * on the other members.
     */
    static void quarantineIncomplete(Path directory) throws IOException {
        for (Path file : snapshots(directory)) {
            if (!isComplete(file.toFile())) {
                Path quarantined = file.resolveSibling(QUARANTINE_PREFIX + file.getFileName());
                System.err.println(
                        "store: snapshot " + file + " is incomplete, renamed to " + quarantined.getFileName());
                Files.move(file, quarantined, StandardCopyOption.REPLACE_EXISTING);
            }
        }
    }

    private static List<Path> snapshots(Path directory) throws IOException {
        if (!Files.isDirectory(directory)) {
            return List.of();
        }
        try (Stream<Path> files = Files.list(directory)) {
            return files.filter(StoreSnapshot::isSnapshot).toList();
        }
    }

    private static boolean isSnapshot(Path file) {
        String name = file.getFileName().toString();
        return SimpleStateMachineStorage.SNAPSHOT_REGEX.matcher(name).matches();
    }

    private static boolean isComplete(File file) throws IOException {
        MD5Hash stored = MD5FileUtil.readStoredMd5ForFile(file);
        return stored != null && stored.equals(MD5FileUtil.computeMd5ForFile(file));
    }

    private static String readText(DataInputStream in) throws IOException {
        return new String(in.readNBytes(in.readInt()), StandardCharsets.UTF_8);
    }

    private static void writeText(DataOutputStream out, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        out.writeInt(bytes.length);
        out.write(bytes);
    }
}
