package mintstair.registry;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.zip.CRC32C;
import mintstair.registry.view.Item;
import mintstair.registry.view.Snapshot;

/**
 * The last whole view in a file: a mark, the format's version, the length and a CRC-32C of what follows, then the view. It is
 * written beside the file, forced to the disk, and moved into its place at once: whoever is killed at any point leaves the old
 * file or the new one. What can't be read whole is set aside, never trusted in part. Not safe for use by several threads.
 */
public final class SnapshotFile {
    private static final byte[] MARK = "mintstair registry\n".getBytes(StandardCharsets.US_ASCII);
    private static final int VERSION = 1;
    private static final int HEAD = MARK.length + Integer.BYTES * 2 + Long.BYTES;
    private static final long MOST = 128L << 20;
    private final Path file;

    public SnapshotFile(Path file) {
        this.file = file;
    }

    /** Replaces the file, or leaves it as it was and throws. */
    public void write(Snapshot snapshot) throws IOException {
        byte[] view = bytes(snapshot);
        CRC32C sum = new CRC32C();
        sum.update(view);
        ByteBuffer whole = ByteBuffer.allocate(HEAD + view.length);
        whole.put(MARK)
                .putInt(VERSION)
                .putInt(view.length)
                .putLong(sum.getValue())
                .put(view)
                .flip();
        Path beside = beside(".new");
        try (FileChannel out = FileChannel.open(
                beside, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.TRUNCATE_EXISTING)) {
            while (whole.hasRemaining()) {
                out.write(whole);
            }
            out.force(true);
        }
        Files.move(beside, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        try (FileChannel folder = FileChannel.open(file.toAbsolutePath().getParent())) {
            folder.force(true);
        }
    }

    /** The view that was kept for this prefix, or null; a file that is none is set aside with one line. */
    public Snapshot read(String prefix, Consumer<String> lines) {
        try {
            return look(prefix);
        } catch (IOException e) {
            try {
                Files.move(file, beside(".bad"), StandardCopyOption.REPLACE_EXISTING);
                lines.accept("registry: " + file + " is set aside: " + e.getMessage());
            } catch (IOException f) {
                lines.accept("registry: " + file + " is not used: " + e.getMessage() + "; it can't be set aside: "
                        + f.getMessage());
            }
            return null;
        }
    }

    /** The view that was kept for this prefix, or null where there is no file; throws, and touches nothing, where the file is none. */
    public Snapshot look(String prefix) throws IOException {
        if (!Files.exists(file)) {
            return null;
        }
        try {
            if (Files.size(file) > MOST) {
                throw new IOException("too long");
            }
            Snapshot read = parse(ByteBuffer.wrap(Files.readAllBytes(file)));
            if (!read.prefix().equals(prefix)) {
                throw new IOException("it is of the prefix " + read.prefix());
            }
            return read;
        } catch (RuntimeException e) {
            throw new IOException("not whole");
        }
    }

    private Path beside(String ending) {
        return file.resolveSibling(file.getFileName() + ending);
    }

    private static byte[] bytes(Snapshot s) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        put(out, s.prefix().getBytes(StandardCharsets.ISO_8859_1));
        out.writeLong(s.cluster());
        out.writeLong(s.revision());
        out.writeLong(s.term());
        out.writeLong(s.heard());
        out.writeInt(s.items().size());
        for (Item item : s.items()) {
            put(out, item.key().getBytes(StandardCharsets.ISO_8859_1));
            put(out, item.value());
            out.writeLong(item.created());
            out.writeLong(item.modified());
        }
        return bytes.toByteArray();
    }

    private static void put(DataOutputStream out, byte[] bytes) throws IOException {
        out.writeInt(bytes.length);
        out.write(bytes);
    }

    private static Snapshot parse(ByteBuffer whole) throws IOException {
        if (whole.remaining() < HEAD || !whole.slice(0, MARK.length).equals(ByteBuffer.wrap(MARK))) {
            throw new IOException("no snapshot of a registry");
        }
        int version = whole.position(MARK.length).getInt();
        if (version != VERSION) {
            throw new IOException("its format is " + version + ", not " + VERSION);
        }
        int length = whole.getInt();
        long sum = whole.getLong();
        CRC32C computed = new CRC32C();
        computed.update(whole.duplicate());
        if (length != whole.remaining() || sum != computed.getValue()) {
            throw new IOException("not whole");
        }
        byte[] view = new byte[length];
        whole.get(view);
        DataInputStream in = new DataInputStream(new ByteArrayInputStream(view));
        String prefix = new String(take(in), StandardCharsets.ISO_8859_1);
        long cluster = in.readLong();
        long revision = in.readLong();
        long term = in.readLong();
        long heard = in.readLong();
        List<Item> items = new ArrayList<>();
        for (int n = in.readInt(); n > 0; n--) {
            items.add(new Item(
                    new String(take(in), StandardCharsets.ISO_8859_1), take(in), in.readLong(), in.readLong()));
        }
        return new Snapshot(prefix, cluster, revision, term, heard, items);
    }

    private static byte[] take(DataInputStream in) throws IOException {
        int length = in.readInt();
        if (length < 0 || length > in.available()) {
            throw new IOException("not whole");
        }
        return in.readNBytes(length);
    }
}
