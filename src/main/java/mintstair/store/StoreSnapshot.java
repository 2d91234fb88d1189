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
 * Reads and writes snapshot files of the entries. The MD5 digest of a snapshot is in a second file in the same
 * directory.
 *
 * <p>Format, with big-endian numbers: the number of entries (4 bytes), then the key and the value of each entry, each
 * as its length in bytes (4 bytes) followed by its UTF-8 bytes.
 */
final class StoreSnapshot {
    /** Does not match the names of snapshots, so that a file left incomplete by a crash is never read. */
    private static final String TEMPORARY_NAME = "unfinished";

    private static final String QUARANTINE_PREFIX = "bad-";

    private StoreSnapshot() {}

    /** Returns the entries of a snapshot file. */
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
     * Writes a snapshot so that after a crash the file either is complete or does not exist.
     *
     * @return the MD5 digest of the file
     */
    static MD5Hash write(File file, Map<String, String> entries) throws IOException {
        Path temporary = file.toPath().resolveSibling(TEMPORARY_NAME);
        writeAndSync(temporary, entries);
        // The digest is saved before the rename, because a snapshot without one counts as incomplete.
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
     * Renames snapshots whose digest is missing or wrong, so that they are not read. Their entries are still in the log
     * or on the other members.
     */
    static void quarantineIncomplete(Path directory) throws IOException {
        for (Path file : snapshots(directory)) {
            if (!isComplete(file.toFile())) {
                Path quarantined = file.resolveSibling(QUARANTINE_PREFIX + file.getFileName());
                System.err.println("store: snapshot " + file + " has no digest or a wrong one; renamed to "
                        + quarantined.getFileName());
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
