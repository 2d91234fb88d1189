package mintstair.membership.swim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * News that still have to be told, the least told first. One entry a member, the newest, so that it never holds more than there are
 * members; what has been told often enough is dropped.
 */
final class Gossip {
    /** What a update takes in a datagram beside its names. */
    static final int RUMOUR_BYTES = 16;

    private record Entry(GossipUpdate update, int told, long order) {}

    private final Map<String, Entry> entries = new HashMap<>();
    private final TreeSet<Entry> queue = new TreeSet<>(
            (a, b) -> a.told != b.told ? Integer.compare(a.told, b.told) : Long.compare(b.order, a.order));
    private long orders;

    /** The newest news go first among those told as often. */
    void add(GossipUpdate update) {
        put(new Entry(update, 0, orders++));
    }

    private void put(Entry entry) {
        remove(entry.update.name());
        entries.put(entry.update.name(), entry);
        queue.add(entry);
    }

    private void remove(String name) {
        Entry old = entries.remove(name);
        if (old != null) {
            queue.remove(old);
        }
    }

    static int bytes(GossipUpdate update) {
        return RUMOUR_BYTES
                + update.name().length()
                + update.address().length()
                + update.by().length();
    }

    /** As many as fit into so many bytes, each counted as told once more, and dropped after the {@code most}th time. */
    List<GossipUpdate> take(int bytes, int most) {
        List<Entry> taken = new ArrayList<>();
        int left = bytes;
        for (Entry entry : queue) {
            left -= bytes(entry.update);
            if (left < 0) {
                break;
            }
            taken.add(entry);
        }
        List<GossipUpdate> updates = new ArrayList<>(taken.size());
        for (Entry entry : taken) {
            updates.add(entry.update);
            if (entry.told + 1 < most) {
                put(new Entry(entry.update, entry.told + 1, entry.order));
            } else {
                remove(entry.update.name());
            }
        }
        return updates;
    }

    int size() {
        return entries.size();
    }
}
