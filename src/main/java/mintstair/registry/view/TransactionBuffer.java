package mintstair.registry.view;

import java.util.ArrayList;
import java.util.List;

/**
 * Collects the fragments of a watch message, so that all changes of a revision are applied together. Not thread-safe.
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

    /** Removes and returns all changes. */
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
