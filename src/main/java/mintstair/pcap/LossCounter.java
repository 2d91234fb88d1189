package mintstair.pcap;

import java.util.concurrent.atomic.AtomicLong;

/** Counts records that were not written, and their bytes. Safe for use by several threads. */
final class LossCounter {
    private final AtomicLong records = new AtomicLong();
    private final AtomicLong bytes = new AtomicLong();

    void add(int recordBytes) {
        records.incrementAndGet();
        bytes.addAndGet(recordBytes);
    }

    long records() {
        return records.get();
    }

    long bytes() {
        return bytes.get();
    }
}
