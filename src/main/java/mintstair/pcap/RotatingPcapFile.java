package mintstair.pcap;

import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import java.util.stream.Stream;

/**
 * Writes packet records into pcap files that follow each other in a folder. While the folder can't be written,
 * records are lost and counted, and writing is tried again each second. For one thread, but for {@link
 * #writtenBytes}.
 */
final class RotatingPcapFile {
    private static final DateTimeFormatter TIME_IN_NAME =
            DateTimeFormatter.ofPattern("yyyyMMdd-HHmmss-SSS").withZone(ZoneOffset.UTC);
    private static final String PREFIX = "traffic-";
    private static final String SUFFIX = ".pcap";
    private static final int WRITE_BUFFER_BYTES = 64 * 1024;
    private static final long RETRY_INTERVAL_MICROS = TimeUnit.SECONDS.toMicros(1);

    private final Path folder;
    private final Rotation rotation;
    private final LongSupplier clockMicros;
    private final LossCounter losses;
    private final AtomicLong writtenBytes = new AtomicLong();
    private OutputStream out;
    private Path currentFile;
    /** Whether the last attempt to write failed. */
    private boolean failing;

    private long retryAtMicros;

    /**
     * Finds the files of earlier runs.
     *
     * @param folder made if it does not exist
     * @param clockMicros Unix microseconds, of which files have their names
     */
    RotatingPcapFile(Path folder, Rotation rotation, LongSupplier clockMicros, LossCounter losses) throws IOException {
        this.folder = Files.createDirectories(folder);
        this.rotation = rotation;
        this.clockMicros = clockMicros;
        this.losses = losses;
        addFilesOfEarlierRuns();
    }

    private void addFilesOfEarlierRuns() throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            for (Path file :
                    files.filter(RotatingPcapFile::isRecording).sorted().toList()) {
                rotation.addClosedFile(file.getFileName().toString(), Files.size(file));
            }
        }
    }

    private static boolean isRecording(Path file) {
        return file.getFileName().toString().startsWith(PREFIX);
    }

    /** Writes one record, or counts it as lost. */
    void write(byte[] packetRecord) {
        long nowMicros = clockMicros.getAsLong();
        if (failing && nowMicros < retryAtMicros) {
            losses.add(packetRecord.length);
            return;
        }
        try {
            append(nowMicros, packetRecord);
            reportRecovery();
        } catch (IOException e) {
            losses.add(packetRecord.length);
            handleFailure(nowMicros, e);
        }
    }

    /**
     * Hands what was written to the operating system: it is in the file even if the program is killed after that.
     */
    void flush() {
        if (out == null) {
            return;
        }
        try {
            out.flush();
        } catch (IOException e) {
            handleFailure(clockMicros.getAsLong(), e);
        }
    }

    private void append(long nowMicros, byte[] packetRecord) throws IOException {
        if (rotation.isDue(nowMicros, packetRecord.length)) {
            startFile(nowMicros);
        }
        writeBytes(packetRecord);
    }

    private void startFile(long nowMicros) throws IOException {
        closeFile();
        String name = unusedName(nowMicros);
        rotation.fileStarted(name, nowMicros);
        for (String excess : rotation.removeExcessFiles()) {
            Files.deleteIfExists(folder.resolve(excess));
        }
        Files.createDirectories(folder);
        currentFile = folder.resolve(name);
        out = new BufferedOutputStream(Files.newOutputStream(currentFile), WRITE_BUFFER_BYTES);
        writeBytes(TcpPacketEncoder.fileHeader());
    }

    /** The time of the file's beginning, with an "a" for each file of the same millisecond before it. */
    private String unusedName(long nowMicros) {
        Instant now = Instant.ofEpochSecond(nowMicros / 1_000_000, nowMicros % 1_000_000 * 1_000);
        String stem = PREFIX + TIME_IN_NAME.format(now);
        while (Files.exists(folder.resolve(stem + SUFFIX))) {
            stem += "a";
        }
        return stem + SUFFIX;
    }

    private void writeBytes(byte[] bytes) throws IOException {
        out.write(bytes);
        rotation.bytesWritten(bytes.length);
        writtenBytes.addAndGet(bytes.length);
    }

    /** The file may end within a record: what follows goes to a new one. */
    private void handleFailure(long nowMicros, IOException cause) {
        if (!failing) {
            System.err.println(
                    "the recording can't be written to " + folder + ", tried again each second: " + cause.getMessage());
        }
        failing = true;
        retryAtMicros = nowMicros + RETRY_INTERVAL_MICROS;
        rotation.closeCurrentFile();
        try {
            closeFile();
        } catch (IOException e) {
            // The failure was reported already, and nothing more can be done for this file.
            out = null;
        }
        deleteCurrentFileIfEmpty();
    }

    /** While the disk is full, each attempt would leave an empty file. */
    private void deleteCurrentFileIfEmpty() {
        try {
            if (currentFile != null && Files.size(currentFile) == 0) {
                Files.delete(currentFile);
            }
        } catch (IOException e) {
            // An empty file that stays, or was never made, does no harm.
        }
        currentFile = null;
    }

    private void reportRecovery() {
        if (failing) {
            failing = false;
            System.err.println("the recording goes on, " + losses.records() + " records were lost up to now");
        }
    }

    /** Closes the current file, if there is one. */
    void closeFile() throws IOException {
        if (out != null) {
            out.close();
            out = null;
        }
    }

    /** Bytes written since the start, file headers included. For any thread. */
    long writtenBytes() {
        return writtenBytes.get();
    }
}
