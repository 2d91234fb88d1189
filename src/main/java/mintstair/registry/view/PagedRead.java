package mintstair.registry.view;

import java.util.ArrayList;
import java.util.List;

/**
 * A read of all entries in pages, all at the revision of the first. It survives a lost connection: the next server
 * continues with the next page. Entries beyond the limits are left out and counted. Not thread-safe.
 */
final class PagedRead {
    private final ViewLimits limits;
    private final List<RegistryEntry> entries = new ArrayList<>();
    private long bytes;
    private RegistryPosition position;
    private String nextKey;
    private int overflown;

    PagedRead(ViewLimits limits, String firstKey) {
        this.limits = limits;
        nextKey = firstKey;
    }

    void add(List<RegistryEntry> page) {
        for (RegistryEntry entry : page) {
            bytes += entry.sizeBytes();
            if (entries.size() <= limits.maxHosts() && bytes <= limits.maxTotalBytes()) {
                entries.add(entry);
            } else {
                overflown++;
            }
            nextKey = entry.key() + '\0';
        }
    }

    /**
     * Pins the read to the position of its first page. Returns whether the position of a later page is of the same
     * history and not before the pinned one.
     */
    boolean pinOrMatch(RegistryPosition pagePosition) {
        if (position == null) {
            position = pagePosition;
            return true;
        }
        return position.clusterId() == pagePosition.clusterId()
                && position.term() <= pagePosition.term()
                && position.revision() <= pagePosition.revision();
    }

    /** The position that the pages are of; null before the first. */
    RegistryPosition position() {
        return position;
    }

    /** The revision that the next page is to be read at; 0 for the newest. */
    long revision() {
        return position == null ? 0 : position.revision();
    }

    /** Where the next page begins. */
    String nextKey() {
        return nextKey;
    }

    List<RegistryEntry> entries() {
        return entries;
    }

    int overflown() {
        return overflown;
    }
}
