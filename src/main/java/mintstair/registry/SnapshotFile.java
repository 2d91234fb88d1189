package mintstair.registry;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.zip.CRC32C;
import mintstair.files.AtomicFile;
import mintstair.registry.view.RegistryEntry;
import mintstair.registry.view.Snapshot;

/**
 * A file that stores the last complete view of a registry. It consists of a magic number, the format version, the
 * length and the CRC-32C of the content, and the content. It is replaced as a whole, also while another process does
 * so. A file that is not valid is moved aside and never used in part. Not thread-safe.
 */
public final class SnapshotFile {
    private static final byte[] MAGIC = "mintstair registry\n".getBytes(StandardCharsets.US_ASCII);
    private static final int VERSION = 1;
    private static final int HEADER_BYTES = MAGIC.length + Integer.BYTES * 2 + Long.BYTES;
    private static final long MAX_FILE_BYTES = 128L << 20;
    private static final String INCOMPLETE = "not whole";

    private final Path file;

    /** Creates an object for this path. The file need not exist, but its directory must. */
    public SnapshotFile(Path file) {
        this.file = file;
    }

    /**
     * Replaces the file.
     *
     * @throws IOException if the file cannot be written, or its directory cannot be forced to disk
     */
    public void write(Snapshot snapshot) throws IOException {
        AtomicFile.replace(file, encode(snapshot));
    }

    /**
     * Returns the view of this prefix; null if there is no file, or if it is not valid. A file that is not valid is
     * logged and moved aside to a name that ends with ".bad".
     */
    public Snapshot readOrMoveAside(String prefix, Consumer<String> log) {
        try {
            return read(prefix);
        } catch (IOException e) {
            moveAside(e, log);
            return null;
        }
    }

    private void moveAside(IOException reason, Consumer<String> log) {
        try {
            Files.move(file, sibling(".bad"), StandardCopyOption.REPLACE_EXISTING);
            log.accept("registry: snapshot " + file + " is not usable and was moved aside: " + reason.getMessage());
        } catch (IOException e) {
            log.accept("registry: snapshot " + file + " is not usable: " + reason.getMessage()
                    + "; it cannot be moved aside: " + e.getMessage());
        }
    }

    /**
     * Returns the view of this prefix; null if there is no file.
     *
     * @throws IOException if the file cannot be read or is not valid; the file is left unchanged
     */
    public Snapshot read(String prefix) throws IOException {
        if (!Files.exists(file)) {
            return null;
        }
        try {
            if (Files.size(file) > MAX_FILE_BYTES) {
                throw new InvalidSnapshotException("too long");
            }
            Snapshot snapshot = decode(ByteBuffer.wrap(Files.readAllBytes(file)));
            if (!snapshot.prefix().equals(prefix)) {
                throw new InvalidSnapshotException("it is of the prefix " + snapshot.prefix());
            }
            return snapshot;
        } catch (RuntimeException e) {
            throw new InvalidSnapshotException(INCOMPLETE, e);
        }
    }

    private Path sibling(String suffix) {
        return file.resolveSibling(file.getFileName() + suffix);
    }

    private static long checksum(ByteBuffer view) {
        CRC32C checksum = new CRC32C();
        checksum.update(view);
        return checksum.getValue();
    }

    private static ByteBuffer encode(Snapshot snapshot) throws IOException {
        byte[] view = encodeView(snapshot);
        return ByteBuffer.allocate(HEADER_BYTES + view.length)
                .put(MAGIC)
                .putInt(VERSION)
                .putInt(view.length)
                .putLong(checksum(ByteBuffer.wrap(view)))
                .put(view)
                .flip();
    }

    private static byte[] encodeView(Snapshot snapshot) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        writeBytes(out, snapshot.prefix().getBytes(StandardCharsets.ISO_8859_1));
        out.writeLong(snapshot.clusterId());
        out.writeLong(snapshot.revision());
        out.writeLong(snapshot.term());
        out.writeLong(snapshot.confirmedAtMicros());
        out.writeInt(snapshot.entries().size());
        for (RegistryEntry entry : snapshot.entries()) {
            writeBytes(out, entry.key().getBytes(StandardCharsets.ISO_8859_1));
            writeBytes(out, entry.value());
            out.writeLong(entry.createRevision());
            out.writeLong(entry.modRevision());
        }
        return bytes.toByteArray();
    }

    private static void writeBytes(DataOutputStream out, byte[] bytes) throws IOException {
        out.writeInt(bytes.length);
        out.write(bytes);
    }

    private static Snapshot decode(ByteBuffer content) throws IOException {
        if (content.remaining() < HEADER_BYTES
                || !content.slice(0, MAGIC.length).equals(ByteBuffer.wrap(MAGIC))) {
            throw new InvalidSnapshotException("no snapshot of a registry");
        }
        int version = content.position(MAGIC.length).getInt();
        if (version != VERSION) {
            throw new InvalidSnapshotException("its format is " + version + ", not " + VERSION);
        }
        int length = content.getInt();
        long expectedChecksum = content.getLong();
        if (length != content.remaining() || expectedChecksum != checksum(content.duplicate())) {
            throw new InvalidSnapshotException(INCOMPLETE);
        }
        byte[] view = new byte[length];
        content.get(view);
        return decodeView(new DataInputStream(new ByteArrayInputStream(view)));
    }

    private static Snapshot decodeView(DataInputStream in) throws IOException {
        String prefix = new String(readBytes(in), StandardCharsets.ISO_8859_1);
        long clusterId = in.readLong();
        long revision = in.readLong();
        long term = in.readLong();
        long confirmedAtMicros = in.readLong();
        List<RegistryEntry> entries = new ArrayList<>();
        for (int remaining = in.readInt(); remaining > 0; remaining--) {
            String key = new String(readBytes(in), StandardCharsets.ISO_8859_1);
            byte[] value = readBytes(in);
            long createRevision = in.readLong();
            long modRevision = in.readLong();
            entries.add(new RegistryEntry(key, value, createRevision, modRevision));
        }
        return new Snapshot(prefix, clusterId, revision, term, confirmedAtMicros, entries);
    }

    private static byte[] readBytes(DataInputStream in) throws IOException {
        int length = in.readInt();
        if (length < 0 || length > in.available()) {
            throw new InvalidSnapshotException(INCOMPLETE);
        }
        return in.readNBytes(length);
    }
}
