package mintstair.pcap;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;

/**
 * Records connections into rotated pcap files, on a thread of its own. Recording never waits: what the disk can't
 * take in time is lost, counted, and missing in the file. Whole records are written, and handed to the operating
 * system at the end of each batch, so that a program that is killed leaves files that can be read to their last
 * whole packet. {@link #begin} and a conversation's methods are for one thread, the counters for any.
 */
public final class TrafficLog implements AutoCloseable {
    private static final long CLOSE_TIMEOUT_MILLIS = 2_000;

    private final LongSupplier clockMicros;
    private final LossCounter losses = new LossCounter();
    private final RotatingPcapFile files;
    private final WriteQueue queue;
    private final Thread writer;

    /**
     * Starts the writing thread.
     *
     * @param folder where the files are; made if it does not exist
     * @param rotation used by the writing thread alone from now on
     * @param maxQueuedBytes bytes that may wait for the disk
     * @param clockMicros Unix microseconds; called on both threads
     */
    public TrafficLog(Path folder, Rotation rotation, long maxQueuedBytes, LongSupplier clockMicros)
            throws IOException {
        this.clockMicros = clockMicros;
        files = new RotatingPcapFile(folder, rotation, clockMicros, losses);
        queue = new WriteQueue(maxQueuedBytes);
        writer = new Thread(this::writeUntilClosed, "record");
        writer.setDaemon(true);
        writer.start();
    }

    /** One recorded connection. */
    public final class Conversation {
        private final TcpPacketEncoder packets;
        private final UnaryOperator<byte[]> clientFilter;
        private final UnaryOperator<byte[]> serverFilter;
        private final boolean redacted;
        /**
         * Bytes lost since the last task that was queued; the writing thread leaves them out of the sequence
         * numbers.
         */
        private int lostFromClient;

        private int lostFromServer;
        /**
         * On the writing thread: a redacted stream lacks bytes, so that values in it can't be found.
         */
        private boolean unredactable;

        private Conversation(
                TcpPacketEncoder packets,
                UnaryOperator<byte[]> clientFilter,
                UnaryOperator<byte[]> serverFilter,
                boolean redacted) {
            this.packets = packets;
            this.clientFilter = clientFilter;
            this.serverFilter = serverFilter;
            this.redacted = redacted;
        }

        /** Records bytes that one side sent; the array must not change any more. */
        public void sent(boolean fromClient, byte[] bytes) {
            long timeMicros = clockMicros.getAsLong();
            int clientGap = lostFromClient;
            int serverGap = lostFromServer;
            boolean queued = offer(() -> write(timeMicros, fromClient, bytes, clientGap, serverGap), bytes.length);
            if (queued) {
                lostFromClient = 0;
                lostFromServer = 0;
            } else if (fromClient) {
                lostFromClient += bytes.length;
            } else {
                lostFromServer += bytes.length;
            }
        }

        /** On the writing thread. */
        private void write(long timeMicros, boolean fromClient, byte[] bytes, int clientGap, int serverGap)
                throws IOException {
            packets.skip(true, clientGap);
            packets.skip(false, serverGap);
            unredactable |= redacted && clientGap + serverGap > 0;
            if (unredactable) {
                packets.skip(fromClient, bytes.length);
                return;
            }
            UnaryOperator<byte[]> filter = fromClient ? clientFilter : serverFilter;
            packets.send(timeMicros, fromClient, filter.apply(bytes));
        }

        /** Records the end of the connection. */
        public void ended() {
            long timeMicros = clockMicros.getAsLong();
            offer(() -> packets.close(timeMicros), 0);
        }
    }

    /**
     * Begins a connection.
     *
     * @param clientFilter makes what is written in place of the bytes that the client sent: as many, but those of a
     *     message
     *     that is not whole yet may come with the next. It is called on the writing thread.
     * @param serverFilter the same for the bytes that the server sent
     * @param redacted whether the filters take values out: nothing more is written of a connection once some of it
     *     was lost
     */
    public Conversation begin(
            InetSocketAddress client,
            InetSocketAddress server,
            Supplier<UnaryOperator<byte[]>> clientFilter,
            Supplier<UnaryOperator<byte[]>> serverFilter,
            boolean redacted) {
        long timeMicros = clockMicros.getAsLong();
        TcpPacketEncoder packets = new TcpPacketEncoder(client, server, files::write);
        Conversation conversation = new Conversation(packets, clientFilter.get(), serverFilter.get(), redacted);
        offer(() -> packets.open(timeMicros), 0);
        return conversation;
    }

    private boolean offer(WriteQueue.Task task, int bytes) {
        boolean queued = queue.offer(task, bytes);
        if (!queued) {
            losses.add(bytes);
        }
        return queued;
    }

    private void writeUntilClosed() {
        try {
            for (List<WriteQueue.Entry> batch = takeBatch(); batch != null; batch = takeBatch()) {
                for (WriteQueue.Entry entry : batch) {
                    entry.task().run();
                }
                files.flush();
                queue.release(batch);
            }
            files.closeFile();
        } catch (IOException | RuntimeException e) {
            queue.close();
            System.err.println("the recording ends: " + e.getMessage());
        }
    }

    /** The next batch, or null where there is none after it. */
    private List<WriteQueue.Entry> takeBatch() {
        try {
            return queue.takeAll();
        } catch (InterruptedException e) {
            // The thread ends; the interrupt is not restored, as it would keep the file from being closed.
            return null;
        }
    }

    /** Records that were lost, as the disk could not take them in time, or not at all. */
    public long lostRecords() {
        return losses.records();
    }

    /** Bytes of the lost records. */
    public long lostBytes() {
        return losses.bytes();
    }

    /** Bytes that were written, file headers included. */
    public long writtenBytes() {
        return files.writtenBytes();
    }

    /** Writes what waits and ends the recording, within this time. */
    public void close(long timeoutMillis) {
        queue.close();
        try {
            writer.join(timeoutMillis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        close(CLOSE_TIMEOUT_MILLIS);
    }
}
