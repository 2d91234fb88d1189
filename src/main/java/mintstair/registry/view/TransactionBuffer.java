package mintstair.registry.view;

import java.util.ArrayList;
import java.util.List;

/**
 * Collects the fragments of a message of a watch, so that the changes of one revision take effect together. Not
 * thread-safe.
 */
final class TransactionBuffer {
    private final long maxBytes;
    private List<EntryChange> changes = new ArrayList<>();
    private long bytes;

    TransactionBuffer(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    void add(List<EntryChange> fragment) {
        for (EntryChange change : fragment) {
            changes.add(change);
            bytes += change.entry().sizeBytes();
        }
    }

    boolean isOverLimit() {
        return bytes > maxBytes;
    }

    boolean isEmpty() {
        return changes.isEmpty();
    }

    /** Empties the buffer and returns what was in it. */
    List<EntryChange> drain() {
        List<EntryChange> drained = changes;
        clear();
        return drained;
    }

    void clear() {
        changes = new ArrayList<>();
        bytes = 0;
    }
}
