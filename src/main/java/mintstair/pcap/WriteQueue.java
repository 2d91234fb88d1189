package mintstair.pcap;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * A queue between the threads that record and the one that writes, bounded by bytes. Offering never waits. Bytes
 * count until they are released, so that what is being written counts, too.
 */
final class WriteQueue {
    /** Something to be written, on the writing thread. */
    @FunctionalInterface
    interface Task {
        void run() throws IOException;
    }

    /**
     * A task in the queue.
     *
     * @param bytes what it counts for
     */
    record Entry(Task task, int bytes) {}

    /** What a task holds on the heap beside its bytes, about. */
    private static final int OVERHEAD_BYTES = 120;

    private final long maxBytes;
    private final Object lock = new Object();

    /** This and the fields below are guarded by {@code lock}. */
    private List<Entry> entries = new ArrayList<>();

    private long bytes;

    private boolean closed;

    WriteQueue(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Adds a task; returns false where there is no room for it, or the queue is closed. */
    boolean offer(Task task, int taskBytes) {
        int entryBytes = taskBytes + OVERHEAD_BYTES;
        synchronized (lock) {
            if (closed || bytes + entryBytes > maxBytes) {
                return false;
            }
            entries.add(new Entry(task, entryBytes));
            bytes += entryBytes;
            if (entries.size() == 1) {
                lock.notifyAll();
            }
            return true;
        }
    }

    /**
     * Waits for tasks and takes all of them.
     *
     * @return the tasks, or null where the queue is closed and empty
     * @throws InterruptedException where the thread was interrupted while it waited
     */
    List<Entry> takeAll() throws InterruptedException {
        synchronized (lock) {
            while (entries.isEmpty() && !closed) {
                lock.wait();
            }
            if (entries.isEmpty()) {
                return null;
            }
            List<Entry> batch = entries;
            entries = new ArrayList<>();
            return batch;
        }
    }

    /** Frees the room of a batch that has run. */
    void release(List<Entry> batch) {
        long released = batch.stream().mapToLong(Entry::bytes).sum();
        synchronized (lock) {
            bytes -= released;
        }
    }

    /** Accepts no further tasks; those in the queue can still be removed. */
    void close() {
        synchronized (lock) {
            closed = true;
            lock.notifyAll();
        }
    }
}
