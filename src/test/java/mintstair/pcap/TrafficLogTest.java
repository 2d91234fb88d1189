package mintstair.pcap;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongUnaryOperator;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;
import mintstair.program.Program;
import mintstair.standin.Client;
import mintstair.traffic.Redactor;
import mintstair.wire.PgWriter;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Recording into rotated files: what waits, gives way, is deleted, sampled and replaced. */
class TrafficLogTest {
    private static final InetSocketAddress CLIENT = new InetSocketAddress("127.0.0.1", 40000);
    private static final InetSocketAddress SERVER = new InetSocketAddress("127.0.0.1", 5433);
    private final AtomicLong now = new AtomicLong(1_700_000_000_000_000L);

    @TempDir
    Path folder;

    private List<Path> files() throws IOException {
        try (Stream<Path> all = Files.list(folder)) {
            return all.sorted().toList();
        }
    }

    private static TrafficLog.Conversation begin(TrafficLog log) {
        return log.begin(CLIENT, SERVER, UnaryOperator::identity, UnaryOperator::identity, false);
    }

    /** What both sides said, as the files show it, and what reading them lost. */
    private String[] read(List<Path> files) throws IOException {
        ByteArrayOutputStream client = new ByteArrayOutputStream();
        ByteArrayOutputStream server = new ByteArrayOutputStream();
        Losses losses = new Losses();
        Connections.read(
                files,
                false,
                LongUnaryOperator::identity,
                port -> port == 5433,
                (at, from, to, fromStart) -> new Connections.Connection() {
                    @Override
                    public void said(long nanos, boolean byClient, byte[] bytes, int begin, int end) {
                        (byClient ? client : server).write(bytes, begin, end - begin);
                    }

                    @Override
                    public void lost(long nanos, boolean byClient) {}

                    @Override
                    public void ended(long nanos) {}
                },
                losses);
        return new String[] {client.toString(UTF_8), server.toString(UTF_8), losses.toString()};
    }

    @Test
    void rotatedFilesReadAsOneAndTheOldestGiveWay() throws Exception {
        StringBuilder said = new StringBuilder();
        try (TrafficLog log = new TrafficLog(folder, new Rotation(4_000, 1_000_000, 1 << 20), 1 << 20, now::get)) {
            TrafficLog.Conversation c = begin(log);
            for (int i = 0; i < 200; i++) {
                now.addAndGet(10_000);
                c.said(i % 2 == 0, ("word " + i + ",").getBytes(UTF_8));
                said.append(i % 2 == 0 ? "word " + i + "," : "");
            }
            c.ended();
        }
        assertTrue(files().size() > 3, files().toString());
        String[] read = read(files());
        assertEquals(said.toString(), read[0]);
        assertEquals("", read[2]);
        for (Path file : files()) {
            assertTrue(Files.size(file) <= 4_000);
        }
        try (TrafficLog log = new TrafficLog(folder, new Rotation(4_000, 1_000_000, 9_000), 1 << 20, now::get)) {
            begin(log).said(true, new byte[3_000]);
        }
        long all = 0;
        for (Path file : files()) {
            all += Files.size(file);
        }
        assertTrue(all <= 9_000, all + " bytes in " + files());
    }

    /** A disk that stands still costs records, never the caller's time; the file tells that something is missing. */
    @Test
    void aSlowDiskLosesRecordsAndCountsThem() throws Exception {
        CountDownLatch stuck = new CountDownLatch(1);
        CountDownLatch released = new CountDownLatch(1);
        try (TrafficLog log = new TrafficLog(folder, new Rotation(1 << 20, 1L << 40, 1 << 24), 10_000, now::get)) {
            UnaryOperator<byte[]> slow = bytes -> {
                stuck.countDown();
                try {
                    released.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
                return bytes;
            };
            TrafficLog.Conversation blocker =
                    log.begin(new InetSocketAddress("127.0.0.1", 4), SERVER, () -> slow, () -> slow, false);
            blocker.said(true, new byte[1]);
            stuck.await();
            TrafficLog.Conversation c = begin(log);
            long begun = System.nanoTime();
            for (int i = 0; i < 1_000; i++) {
                c.said(true, new byte[100]);
            }
            assertTrue(System.nanoTime() - begun < 1_000_000_000L);
            assertTrue(
                    log.lostRecords() > 900 && log.lostBytes() == log.lostRecords() * 100, log.lostRecords() + " lost");
            released.countDown();
            Program.await(
                    () -> {
                        c.said(true, "after".getBytes(UTF_8));
                        return log.writtenBytes() > 9_000;
                    },
                    "the disk to go on");
        }
        assertTrue(read(files())[2].contains("gap=1"), read(files())[2]);
    }

    /** Killed after any byte, a file reads to its last whole packet. */
    @Test
    void aFileThatEndsAnywhereReadsToItsLastWholePacket() throws Exception {
        try (TrafficLog log = new TrafficLog(folder, new Rotation(1 << 20, 1L << 40, 1 << 24), 1 << 20, now::get)) {
            TrafficLog.Conversation c = begin(log);
            for (int i = 0; i < 20; i++) {
                c.said(true, ("w" + i % 10).getBytes(UTF_8));
            }
        }
        Path file = files().get(0);
        byte[] whole = Files.readAllBytes(file);
        int before = 0;
        for (int n = 24; n < whole.length; n++) {
            Files.write(file, Arrays.copyOf(whole, n));
            int length = read(List.of(file))[0].length();
            assertTrue(length >= before && length - before <= 2);
            before = length;
        }
    }

    @Test
    void aFolderThatCannotBeWrittenLosesRecordsUntilItCan() throws Exception {
        TrafficLog log = new TrafficLog(folder, new Rotation(1 << 20, 1L << 40, 1 << 24), 1 << 20, now::get);
        Files.delete(folder);
        Files.createFile(folder);
        TrafficLog.Conversation c = begin(log);
        Program.await(
                () -> {
                    c.said(true, new byte[1]);
                    return log.lostRecords() > 0;
                },
                "a record that is lost");
        assertEquals(0, log.writtenBytes());
        Files.delete(folder);
        Program.await(
                () -> {
                    now.addAndGet(1_000_000);
                    c.said(true, new byte[1]);
                    return log.writtenBytes() > 0;
                },
                "a record that is written again");
        log.close();
        try (Stream<Path> files = Files.list(folder)) {
            assertEquals(1, files.count());
        }
    }

    @Test
    void rotationIsBySizeAgeAndTotal() {
        Rotation r = new Rotation(100, 1_000, 250);
        r.found("old1", 90);
        r.found("old2", 60);
        assertTrue(r.isDue(0, 1), "there is none yet");
        r.begun("a", 0);
        assertEquals("[]", r.toDelete().toString());
        r.wrote(80);
        assertFalse(r.isDue(999, 20));
        assertTrue(r.isDue(999, 21));
        assertTrue(r.isDue(1_000, 1));
        r.begun("b", 1_000);
        assertEquals("[old1]", r.toDelete().toString(), "its room and all that is kept fit the total");
        assertFalse(r.isDue(1_001, 500), "what is larger than a file has one of its own");
        r.wrote(500);
        r.begun("c", 2_000);
        assertEquals("[old2, a, b]", r.toDelete().toString());
        assertThrows(IllegalArgumentException.class, () -> new Rotation(100, 1, 99));
    }

    @Test
    void samplesAreWholeSeededAndOfTheirShare() {
        int taken = 0;
        for (int i = 0; i < 100_000; i++) {
            taken += new Sampler(0.1, 7).takes(i) ? 1 : 0;
            assertEquals(new Sampler(0.1, 7).takes(i), new Sampler(0.1, 7).takes(i));
        }
        assertTrue(Math.abs(taken - 10_000) < 400, taken + " of 100,000");
        assertTrue(new Sampler(1, 3).takes(5) && !new Sampler(0, 3).takes(5));
        assertThrows(IllegalArgumentException.class, () -> new Sampler(1.1, 1));
    }

    /** However the bytes come in, values are gone, lengths are kept, and the same value has the same digest. */
    @Test
    void digestsTakeTheValuesPlacesInTheSameLengths() {
        byte[] key = new byte[32];
        byte[] statement = Client.Pg.query(
                "INSERT INTO entries (ref, payload) VALUES ('7f', '\\x9f030102') RETURNING payload /* id=a,c=w */");
        byte[] row = row("a secret value of some length that takes more than one block of digest");
        byte[] asked = join(Client.Pg.startup(), statement, statement);
        byte[] answered = join(new PgWriter().message('R', 0).ready().bytes(), row, row);
        for (int seed = 0; seed < 50; seed++) {
            String client = new String(pieces(Redactor.ofClient(key), asked, seed), StandardCharsets.ISO_8859_1);
            String server = new String(pieces(Redactor.ofServer(key), answered, seed), StandardCharsets.ISO_8859_1);
            assertEquals(asked.length, client.length());
            assertFalse(client.contains("9f030102"));
            assertTrue(client.contains("'7f', '\\x") && client.contains("/* id=a,c=w */"), client);
            int half = client.length() - statement.length;
            assertEquals(client.substring(half), client.substring(half - statement.length, half));
            assertFalse(server.contains("secret"));
            assertEquals(
                    server.substring(server.length() - row.length),
                    server.substring(server.length() - 2 * row.length, server.length() - row.length));
        }
        assertNotEquals(
                new String(Redactor.ofClient(new byte[] {1}).apply(asked), UTF_8),
                new String(Redactor.ofClient(key).apply(asked), UTF_8));
        byte[] large = row("x".repeat(200_000));
        byte[] redacted = pieces(
                Redactor.ofServer(key),
                join(new PgWriter().message('R', 0).ready().bytes(), large),
                3);
        assertFalse(new String(redacted, UTF_8).contains("xxxxxxxx"));
    }

    private static byte[] row(String value) {
        return new PgWriter()
                .message('T', '\0', '\1', "payload", 0, '\0', '\0', 17, '\0', '\4', -1, '\0', '\1')
                .message('D', '\0', '\1', value.length(), value.getBytes(UTF_8))
                .message('C', "SELECT 1")
                .ready()
                .bytes();
    }

    private static byte[] join(byte[]... parts) {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (byte[] part : parts) {
            all.writeBytes(part);
        }
        return all.toByteArray();
    }

    private static byte[] pieces(Redactor redactor, byte[] bytes, int seed) {
        Random dice = new Random(seed);
        List<byte[]> out = new ArrayList<>();
        for (int at = 0; at < bytes.length; ) {
            int n = Math.min(bytes.length - at, 1 + dice.nextInt(60));
            out.add(redactor.apply(Arrays.copyOfRange(bytes, at, at + n)));
            at += n;
        }
        return join(out.toArray(new byte[0][]));
    }
}
