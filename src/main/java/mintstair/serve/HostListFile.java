package mintstair.serve;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import mintstair.files.AtomicFile;

/**
 * The file with the list of hosts that the store had last, as text. A start uses it if no majority of the store answers.
 * Both processes of an upgrade write it. Not safe for use by several threads.
 */
final class HostListFile {
    private final Path file;
    private boolean hasFailed;

    HostListFile(Path file) {
        this.file = file;
    }

    /** Returns the list; null if there is none or it cannot be read. */
    String read() {
        try {
            return Files.readString(file);
        } catch (NoSuchFileException e) {
            return null;
        } catch (IOException e) {
            logOnce(e);
            return null;
        }
    }

    /** Replaces the list. A failure is logged once and has no other effect. */
    void write(String hosts) {
        try {
            AtomicFile.replace(file, ByteBuffer.wrap(hosts.getBytes(StandardCharsets.UTF_8)));
        } catch (IOException e) {
            logOnce(e);
        }
    }

    private void logOnce(IOException failure) {
        if (!hasFailed) {
            System.err.println("store: " + file + ": " + failure);
        }
        hasFailed = true;
    }
}
