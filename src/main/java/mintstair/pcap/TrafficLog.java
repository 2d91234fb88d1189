package mintstair.pcap;

import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;

/**
 * Records connections into rotated files, on a thread of its own. Who records never waits: what the disk can't take in time is lost,
 * counted, and missing in the file. Whole records are written, and handed to the system at the end of each batch, so that a program
 * that is killed leaves files that read to their last whole packet. {@link #begin} and a conversation's calls are for one thread, the
 * counters for any.
 */
public final class TrafficLog implements AutoCloseable {
    private static final DateTimeFormatter NAME =
            DateTimeFormatter.ofPattern("yyyyMMdd-HHmmss-SSS").withZone(ZoneOffset.UTC);
    private static final String PREFIX = "traffic-";
    private static final String ENDING = ".pcap";
    /** What a record holds beside its bytes, about. */
    private static final int OVERHEAD = 120;
    /** Between two tries to write, while the disk takes nothing. */
    private static final long RETRY_MICROS = 1_000_000;

    /** Something to be written: it is told whether what came before it was lost. */
    private interface Task {
        void write() throws IOException;
    }

    private record Waiting(Task task, int bytes) {}

    private final Path folder;
    private final Rotation rotation;
    private final long mostQueued;
    private final LongSupplier clock;
    private final Thread thread;
    private final Object lock = new Object();
    private List<Waiting> queue = new ArrayList<>();
    private long queued;
    private boolean over;
    private OutputStream out;
    private Path file;
    private final AtomicLong lostRecords = new AtomicLong();
    private final AtomicLong lostBytes = new AtomicLong();
    /** On the writing thread: whether the last try to write failed, and when the next one is made. */
    private boolean failing;

    private long retryAt;
    private volatile long writtenBytes;
    private volatile String broken;

    /**
     * @param folder where the files are; made if it is not there
     * @param mostQueued bytes that may wait for the disk
     * @param clock Unix microseconds
     */
    public TrafficLog(Path folder, Rotation rotation, long mostQueued, LongSupplier clock) throws IOException {
        this.folder = Files.createDirectories(folder);
        this.rotation = rotation;
        this.mostQueued = mostQueued;
        this.clock = clock;
        try (Stream<Path> files = Files.list(folder)) {
            for (Path file : files.filter(f -> f.getFileName().toString().startsWith(PREFIX))
                    .sorted()
                    .toList()) {
                rotation.found(file.getFileName().toString(), Files.size(file));
            }
        }
        thread = new Thread(this::run, "record");
        thread.setDaemon(true);
        thread.start();
    }

    /** One recorded connection. */
    public final class Conversation {
        private final TcpConversation records;
        private final UnaryOperator<byte[]> client;
        private final UnaryOperator<byte[]> server;
        /** Lost since the last record that was taken; on the writing thread they are left out of the sequence. */
        private int lostByClient;

        private int lostByServer;
        private final boolean redacted;
        /** On the writing thread: with a part missing, what is a value can't be told any more. */
        private boolean blind;

        private Conversation(
                InetSocketAddress from,
                InetSocketAddress to,
                UnaryOperator<byte[]> client,
                UnaryOperator<byte[]> server,
                boolean redacted) {
            this.redacted = redacted;
            records = new TcpConversation(from, to, TrafficLog.this::write);
            this.client = client;
            this.server = server;
        }

        /** Takes bytes that one side said; the array must not change any more. */
        public void said(boolean byClient, byte[] bytes) {
            long time = clock.getAsLong();
            int lostC = lostByClient;
            int lostS = lostByServer;
            boolean taken = offer(
                    () -> {
                        records.lost(true, lostC);
                        records.lost(false, lostS);
                        blind |= redacted && lostC + lostS > 0;
                        if (blind) {
                            records.lost(byClient, bytes.length);
                            return;
                        }
                        byte[] written = (byClient ? client : server).apply(bytes);
                        records.said(time, byClient, written);
                    },
                    bytes.length);
            lostByClient = taken ? 0 : lostC + (byClient ? bytes.length : 0);
            lostByServer = taken ? 0 : lostS + (byClient ? 0 : bytes.length);
        }

        public void ended() {
            long time = clock.getAsLong();
            offer(() -> records.ended(time), 0);
        }
    }

    /**
     * A connection begins; {@code ofClient} and {@code ofServer} give for each side what is to be written in place of its bytes: as
     * many, but those of a message that is not whole yet may come with the next. Where they are {@code redacted}, nothing is written
     * of a connection any more once some of it was lost.
     */
    public Conversation begin(
            InetSocketAddress client,
            InetSocketAddress server,
            Supplier<UnaryOperator<byte[]>> ofClient,
            Supplier<UnaryOperator<byte[]>> ofServer,
            boolean redacted) {
        long time = clock.getAsLong();
        Conversation c = new Conversation(client, server, ofClient.get(), ofServer.get(), redacted);
        offer(() -> c.records.begin(time), 0);
        return c;
    }

    private boolean offer(Task task, int bytes) {
        synchronized (lock) {
            if (!over && broken == null && queued + bytes + OVERHEAD <= mostQueued) {
                queue.add(new Waiting(task, bytes + OVERHEAD));
                queued += bytes + OVERHEAD;
                if (queue.size() == 1) {
                    lock.notifyAll();
                }
                return true;
            }
        }
        lostRecords.incrementAndGet();
        lostBytes.addAndGet(bytes);
        return false;
    }

    private void run() {
        try {
            for (List<Waiting> batch = take(); batch != null; batch = take()) {
                for (Waiting each : batch) {
                    each.task.write();
                }
                flush();
                long done = batch.stream().mapToLong(Waiting::bytes).sum();
                synchronized (lock) {
                    queued -= done;
                }
            }
            closeFile();
        } catch (IOException | RuntimeException e) {
            broken = String.valueOf(e.getMessage());
            System.err.println("the recording ends: " + broken);
        }
    }

    /** All that waits, once something does; null at the end. */
    private List<Waiting> take() {
        synchronized (lock) {
            while (queue.isEmpty() && !over) {
                try {
                    lock.wait();
                } catch (InterruptedException e) {
                    return null;
                }
            }
            if (queue.isEmpty()) {
                return null;
            }
            List<Waiting> batch = queue;
            queue = new ArrayList<>();
            return batch;
        }
    }

    /** Writes one record, or loses and counts it: the disk may be full for a while, and the recording goes on when it is not. */
    private void write(byte[] record) {
        long now = clock.getAsLong();
        if (failing && now < retryAt) {
            lose(record.length);
            return;
        }
        try {
            append(now, record);
            healed();
        } catch (IOException e) {
            lose(record.length);
            failed(now, e);
        }
    }

    private void flush() {
        if (out != null) {
            try {
                out.flush();
            } catch (IOException e) {
                failed(clock.getAsLong(), e);
            }
        }
    }

    private void lose(int bytes) {
        lostRecords.incrementAndGet();
        lostBytes.addAndGet(bytes);
    }

    /** What follows the failure goes to a new file, as this one may end within a record. */
    private void failed(long now, IOException why) {
        if (!failing) {
            System.err.println(
                    "the recording can't be written to " + folder + ", tried again each second: " + why.getMessage());
        }
        failing = true;
        retryAt = now + RETRY_MICROS;
        rotation.abandon();
        try {
            closeFile();
        } catch (IOException e) {
            // What was still to be written of it is lost, as was said.
            out = null;
        }
        deleteEmpty();
    }

    /** A disk that is full for hours must not be filled with files of nothing. */
    private void deleteEmpty() {
        try {
            if (file != null && Files.size(file) == 0) {
                Files.delete(file);
            }
        } catch (IOException e) {
            // It stays, or was never there.
        }
        file = null;
    }

    private void healed() {
        if (failing) {
            failing = false;
            System.err.println("the recording goes on, " + lostRecords + " records were lost up to now");
        }
    }

    private void append(long now, byte[] record) throws IOException {
        if (rotation.isDue(now, record.length)) {
            closeFile();
            String name = PREFIX + NAME.format(Instant.ofEpochSecond(now / 1_000_000, now % 1_000_000 * 1000)) + ENDING;
            while (Files.exists(folder.resolve(name))) {
                name = name.substring(0, name.length() - ENDING.length()) + "a" + ENDING;
            }
            rotation.begun(name, now);
            for (String old : rotation.toDelete()) {
                Files.deleteIfExists(folder.resolve(old));
            }
            Files.createDirectories(folder);
            file = folder.resolve(name);
            out = new BufferedOutputStream(Files.newOutputStream(file), 64 * 1024);
            put(TcpConversation.head());
        }
        put(record);
    }

    @SuppressWarnings("NonAtomicVolatileUpdate") // only the thread that writes the files writes it
    private void put(byte[] bytes) throws IOException {
        out.write(bytes);
        rotation.wrote(bytes.length);
        writtenBytes += bytes.length;
    }

    private void closeFile() throws IOException {
        if (out != null) {
            out.close();
            out = null;
        }
    }

    /** Records that were lost as the disk could not take them in time, or any more. */
    public long lostRecords() {
        return lostRecords.get();
    }

    public long lostBytes() {
        return lostBytes.get();
    }

    public long writtenBytes() {
        return writtenBytes;
    }

    /** Writes what waits, and ends; for at most this long. */
    public void close(long millis) {
        synchronized (lock) {
            over = true;
            lock.notifyAll();
        }
        try {
            thread.join(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        close(2_000);
    }
}
