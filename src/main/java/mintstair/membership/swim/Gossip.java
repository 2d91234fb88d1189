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
    /** What a rumour takes in a datagram beside its names. */
    static final int RUMOUR_BYTES = 16;

    private record Entry(Rumour rumour, int told, long order) {}

    private final Map<String, Entry> entries = new HashMap<>();
    private final TreeSet<Entry> queue = new TreeSet<>(
            (a, b) -> a.told != b.told ? Integer.compare(a.told, b.told) : Long.compare(b.order, a.order));
    private long orders;

    /** The newest news go first among those told as often. */
    void add(Rumour rumour) {
        put(new Entry(rumour, 0, orders++));
    }

    private void put(Entry entry) {
        remove(entry.rumour.name());
        entries.put(entry.rumour.name(), entry);
        queue.add(entry);
    }

    private void remove(String name) {
        Entry old = entries.remove(name);
        if (old != null) {
            queue.remove(old);
        }
    }

    static int bytes(Rumour rumour) {
        return RUMOUR_BYTES
                + rumour.name().length()
                + rumour.address().length()
                + rumour.by().length();
    }

    /** As many as fit into so many bytes, each counted as told once more, and dropped after the {@code most}th time. */
    List<Rumour> take(int bytes, int most) {
        List<Entry> taken = new ArrayList<>();
        int left = bytes;
        for (Entry entry : queue) {
            left -= bytes(entry.rumour);
            if (left < 0) {
                break;
            }
            taken.add(entry);
        }
        List<Rumour> rumours = new ArrayList<>(taken.size());
        for (Entry entry : taken) {
            rumours.add(entry.rumour);
            if (entry.told + 1 < most) {
                put(new Entry(entry.rumour, entry.told + 1, entry.order));
            } else {
                remove(entry.rumour.name());
            }
        }
        return rumours;
    }

    int size() {
        return entries.size();
    }
}
