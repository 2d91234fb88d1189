package mintstair.files;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/**
 * Replaces files as a whole: the content is written to a second file in the same directory, forced to disk and renamed
 * over the old one. A crash at any point leaves either the old or the new content. Two processes that replace a file at
 * the same time write to different second files, so that one of the two contents remains.
 */
public final class AtomicFile {
    private AtomicFile() {}

    /** Returns the second file to which the process with this number writes. */
    public static Path temporary(Path file, long pid) {
        return file.resolveSibling(file.getFileName() + ".new." + pid);
    }

    /**
     * Replaces the file, or creates it. Must not be called by two threads for the same file.
     *
     * @throws IOException if the file cannot be written, or its directory cannot be forced to disk
     */
    public static void replace(Path file, ByteBuffer content) throws IOException {
        Path temporary = temporary(file, ProcessHandle.current().pid());
        try {
            writeAndSync(temporary, content);
            Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        } finally {
            Files.deleteIfExists(temporary);
        }
        // The rename is durable only after the directory has been forced to disk.
        try (FileChannel directory = FileChannel.open(file.toAbsolutePath().getParent())) {
            directory.force(true);
        }
    }

    private static void writeAndSync(Path file, ByteBuffer content) throws IOException {
        try (FileChannel out = FileChannel.open(
                file, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.TRUNCATE_EXISTING)) {
            while (content.hasRemaining()) {
                out.write(content);
            }
            out.force(true);
        }
    }
}
