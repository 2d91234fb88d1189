package mintstair.registry.view;

import java.util.ArrayList;
import java.util.List;

/**
 * A whole reading in pages, all at the revision of the first. It outlives a break: the next endpoint goes on with the next page.
 * Bounded; what is beyond is left out and counted by the table.
 */
final class Reading {
    private final Limits limits;
    private final List<Item> items = new ArrayList<>();
    private long bytes;
    Header pin;
    String from;
    int leftOut;

    Reading(Limits limits, String from) {
        this.limits = limits;
        this.from = from;
    }

    void add(List<Item> page) {
        for (Item item : page) {
            bytes += item.key().length() + item.value().length;
            if (items.size() <= limits.hosts() && bytes <= limits.allBytes()) {
                items.add(item);
            } else {
                leftOut++;
            }
            from = item.key() + '\0';
        }
    }

    List<Item> items() {
        return items;
    }
}
