package mintstair.pcap;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;
import mintstair.program.Program;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Recording into rotated files: what waits for the disk, is lost, deleted, and read again. */
class TrafficLogTest {
    private static final InetSocketAddress CLIENT = new InetSocketAddress("127.0.0.1", 40000);
    private static final InetSocketAddress SERVER = new InetSocketAddress("127.0.0.1", CaptureFixtures.SERVER_PORT);
    private static final int SMALL_FILE_BYTES = 4_000;
    private static final long ONE_SECOND_MICROS = 1_000_000;

    private final AtomicLong nowMicros = new AtomicLong(1_700_000_000_000_000L);

    @TempDir
    Path folder;

    private TrafficLog newLog(Rotation rotation, long maxQueuedBytes) throws IOException {
        return new TrafficLog(folder, rotation, maxQueuedBytes, nowMicros::get);
    }

    private TrafficLog newLogOfOneFile(long maxQueuedBytes) throws IOException {
        return newLog(new Rotation(1 << 20, 1L << 40, 1 << 24), maxQueuedBytes);
    }

    private static TrafficLog.Conversation begin(TrafficLog log) {
        return log.begin(CLIENT, SERVER, UnaryOperator::identity, UnaryOperator::identity, false);
    }

    private List<Path> files() throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.sorted().toList();
        }
    }

    private long totalBytes() throws IOException {
        long total = 0;
        for (Path file : files()) {
            total += Files.size(file);
        }
        return total;
    }

    @Test
    void rotatedFilesAreReadAsOne() throws Exception {
        StringBuilder sentByClient = new StringBuilder();
        try (TrafficLog log = newLog(new Rotation(SMALL_FILE_BYTES, ONE_SECOND_MICROS, 1 << 20), 1 << 20)) {
            TrafficLog.Conversation conversation = begin(log);
            for (int i = 0; i < 200; i++) {
                nowMicros.addAndGet(10_000);
                String word = "word " + i + ",";
                boolean fromClient = i % 2 == 0;
                conversation.sent(fromClient, word.getBytes(StandardCharsets.US_ASCII));
                sentByClient.append(fromClient ? word : "");
            }
            conversation.ended();
        }

        RecordedFlows recorded = RecordedFlows.ofFiles(files(), false);

        assertTrue(files().size() > 3, files().toString());
        assertEquals(sentByClient.toString(), recorded.clientText(0));
        assertEquals("", recorded.drops.toString());
        for (Path file : files()) {
            assertTrue(Files.size(file) <= SMALL_FILE_BYTES);
        }
    }

    @Test
    void oldestFilesOfEarlierRunsAreDeletedForNewOnes() throws Exception {
        for (int i = 0; i < 4; i++) {
            Files.write(folder.resolve("traffic-20231114-22131" + i + "-000.pcap"), new byte[3_000]);
        }
        try (TrafficLog log = newLog(new Rotation(SMALL_FILE_BYTES, ONE_SECOND_MICROS, 9_000), 1 << 20)) {
            begin(log).sent(true, new byte[3_000]);
        }
        assertTrue(totalBytes() <= 9_000, totalBytes() + " bytes in " + files());
    }

    /**
     * A disk that stands still costs records, never the caller's time; the file shows that something is missing.
     */
    @Test
    void slowDiskLosesRecordsAndCountsThem() throws Exception {
        CountDownLatch writerBlocked = new CountDownLatch(1);
        CountDownLatch released = new CountDownLatch(1);
        UnaryOperator<byte[]> blockingFilter = bytes -> {
            writerBlocked.countDown();
            try {
                released.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            return bytes;
        };
        try (TrafficLog log = newLogOfOneFile(10_000)) {
            InetSocketAddress otherClient = new InetSocketAddress("127.0.0.1", 4);
            log.begin(otherClient, SERVER, () -> blockingFilter, () -> blockingFilter, false)
                    .sent(true, new byte[1]);
            writerBlocked.await();
            TrafficLog.Conversation conversation = begin(log);
            long startNanos = System.nanoTime();
            for (int i = 0; i < 1_000; i++) {
                conversation.sent(true, new byte[100]);
            }

            assertTrue(System.nanoTime() - startNanos < 1_000_000_000L);
            assertTrue(log.lostRecords() > 900, log.lostRecords() + " lost");
            assertEquals(log.lostRecords() * 100, log.lostBytes());

            released.countDown();
            Program.await(
                    () -> {
                        conversation.sent(true, "after".getBytes(StandardCharsets.US_ASCII));
                        return log.writtenBytes() > 9_000;
                    },
                    "the disk to go on");
        }
        String drops = RecordedFlows.ofFiles(files(), false).drops.toString();
        assertTrue(drops.contains("gap=1"), drops);
    }

    /** Killed after any byte, a file can be read to its last whole packet. */
    @Test
    void cutOffFileIsReadToItsLastWholePacket() throws Exception {
        try (TrafficLog log = newLogOfOneFile(1 << 20)) {
            TrafficLog.Conversation conversation = begin(log);
            for (int i = 0; i < 20; i++) {
                conversation.sent(true, ("w" + i % 10).getBytes(StandardCharsets.US_ASCII));
            }
        }
        byte[] whole = Files.readAllBytes(files().get(0));
        int lengthBefore = 0;
        for (int cut = 24; cut < whole.length; cut++) {
            int length = RecordedFlows.ofCapture(Arrays.copyOf(whole, cut))
                    .clientText(0)
                    .length();
            assertTrue(length >= lengthBefore && length - lengthBefore <= 2);
            lengthBefore = length;
        }
    }

    @Test
    void folderThatCannotBeWrittenLosesRecordsUntilItCan() throws Exception {
        TrafficLog log = newLogOfOneFile(1 << 20);
        Files.delete(folder);
        Files.createFile(folder);
        TrafficLog.Conversation conversation = begin(log);
        Program.await(
                () -> {
                    conversation.sent(true, new byte[1]);
                    return log.lostRecords() > 0;
                },
                "a record that is lost");
        assertEquals(0, log.writtenBytes());

        Files.delete(folder);
        Program.await(
                () -> {
                    nowMicros.addAndGet(ONE_SECOND_MICROS);
                    conversation.sent(true, new byte[1]);
                    return log.writtenBytes() > 0;
                },
                "a record that is written again");
        log.close();

        assertEquals(1, files().size());
    }
}
