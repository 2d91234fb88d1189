package mintstair.registry.view;

import java.util.ArrayList;
import java.util.List;

/**
 * Collects a read of all entries in pages, which are all read at the revision of the first page. After a lost
 * connection another server can continue with the next page. Entries beyond the limits are left out and counted. Not
 * thread-safe.
 */
final class PagedRead {
    private final ViewLimits limits;
    private final List<RegistryEntry> entries = new ArrayList<>();
    private long bytes;
    private RegistryPosition position;
    private String nextKey;
    private int excludedCount;

    PagedRead(ViewLimits limits, String firstKey) {
        this.limits = limits;
        nextKey = firstKey;
    }

    /** Adds the entries of the next page. */
    void add(List<RegistryEntry> page) {
        for (RegistryEntry entry : page) {
            bytes += entry.sizeBytes();
            if (entries.size() <= limits.maxHosts() && bytes <= limits.maxTotalBytes()) {
                entries.add(entry);
            } else {
                excludedCount++;
            }
            nextKey = entry.key() + '\0';
        }
    }

    /**
     * Pins the read to this position if it is that of the first page. For a later page, returns whether its position
     * belongs to the same history and is not before that of the first; for the first page, returns true.
     */
    boolean pinOrCheck(RegistryPosition pagePosition) {
        if (position == null) {
            position = pagePosition;
            return true;
        }
        return position.clusterId() == pagePosition.clusterId()
                && position.term() <= pagePosition.term()
                && position.revision() <= pagePosition.revision();
    }

    /** Returns the position at which the pages are read; null before the first page. */
    RegistryPosition position() {
        return position;
    }

    /** Returns the revision at which the next page must be read; 0 for the newest. */
    long revision() {
        return position == null ? 0 : position.revision();
    }

    /** Returns the first key of the next page. */
    String nextKey() {
        return nextKey;
    }

    List<RegistryEntry> entries() {
        return entries;
    }

    /** Returns how many entries were left out because of the limits. */
    int excludedCount() {
        return excludedCount;
    }
}
