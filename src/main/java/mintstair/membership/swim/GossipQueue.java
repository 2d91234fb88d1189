package mintstair.membership.swim;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * Queue of SWIM's infection-style dissemination: holds the updates that still have to be sent, those with the fewest
 * transmissions first. It keeps only the newest update for each member, so it is never larger than the fleet.
 */
final class GossipQueue {
    /** Size of an encoded update without the characters of its strings. */
    private static final int FIXED_UPDATE_BYTES = 16;

    private record Entry(GossipUpdate update, int transmissions, long sequence) {}

    private final Map<String, Entry> entries = new HashMap<>();
    /** Ordered by the number of transmissions; among equal numbers, the newest update is first. */
    private final TreeSet<Entry> queue = new TreeSet<>(
            Comparator.comparingInt(Entry::transmissions).thenComparing(Entry::sequence, Comparator.reverseOrder()));

    private long nextSequence;

    /** Queues an update and removes an older one for the same member. */
    void add(GossipUpdate update) {
        put(new Entry(update, 0, nextSequence++));
    }

    private void put(Entry entry) {
        remove(entry.update.name());
        entries.put(entry.update.name(), entry);
        queue.add(entry);
    }

    private void remove(String name) {
        Entry removed = entries.remove(name);
        if (removed != null) {
            queue.remove(removed);
        }
    }

    /** Returns the size of an update in a datagram. */
    static int encodedBytes(GossipUpdate update) {
        int textLength = update.name().length()
                + update.address().length()
                + update.reporter().length();
        return FIXED_UPDATE_BYTES + textLength;
    }

    /**
     * Returns the next updates that fit into {@code maxBytes} and counts a transmission of each. An update is removed
     * with its {@code maxTransmissions}-th transmission.
     */
    List<GossipUpdate> poll(int maxBytes, int maxTransmissions) {
        List<GossipUpdate> updates = new ArrayList<>();
        for (Entry entry : nextEntries(maxBytes)) {
            updates.add(entry.update);
            int transmissions = entry.transmissions + 1;
            if (transmissions < maxTransmissions) {
                put(new Entry(entry.update, transmissions, entry.sequence));
            } else {
                remove(entry.update.name());
            }
        }
        return updates;
    }

    private List<Entry> nextEntries(int maxBytes) {
        List<Entry> next = new ArrayList<>();
        int remainingBytes = maxBytes;
        for (Entry entry : queue) {
            remainingBytes -= encodedBytes(entry.update);
            if (remainingBytes < 0) {
                break;
            }
            next.add(entry);
        }
        return next;
    }
}
