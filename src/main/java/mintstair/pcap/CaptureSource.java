package mintstair.pcap;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;

/** Where the bytes of a capture come from: a file, or memory. */
@FunctionalInterface
interface CaptureSource {
    /** Opens the capture at its first byte; the caller closes the stream. */
    InputStream open() throws IOException;

    static CaptureSource ofFile(Path file) {
        return () -> Files.newInputStream(file);
    }
}
