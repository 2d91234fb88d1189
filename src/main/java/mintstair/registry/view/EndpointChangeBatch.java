package mintstair.registry.view;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import mintstair.request.EndpointList;

/**
 * Merges endpoint changes into deltas that list each endpoint at most once: a later change of the same incarnation
 * replaces the earlier one, and a new incarnation that follows a removal starts the next delta. Not thread-safe.
 */
final class EndpointChangeBatch {
    private record EndpointId(String front, String host) {}

    /** The deltas of each front in order, each a map of its entries by host. */
    private final Map<String, List<Map<String, EndpointList.Entry>>> deltasByFront = new LinkedHashMap<>();
    /** Endpoints whose first report is in this batch. */
    private final Set<EndpointId> added = new HashSet<>();

    /**
     * Adds a change.
     *
     * @param isNew whether this incarnation of the endpoint has not been reported yet; if it is removed within the
     *     same batch, neither its addition nor its removal is reported
     */
    void add(String front, EndpointList.Entry entry, boolean isNew) {
        List<Map<String, EndpointList.Entry>> deltas = deltasByFront.computeIfAbsent(front, f -> new ArrayList<>());
        Map<String, EndpointList.Entry> delta = deltaFor(entry, deltas);
        EndpointId id = new EndpointId(front, entry.host());
        if (isRemoval(entry) && added.remove(id)) {
            removeLast(entry.host(), deltas);
            return;
        }
        if (isNew) {
            added.add(id);
        }
        delta.put(entry.host(), entry);
    }

    private static Map<String, EndpointList.Entry> deltaFor(
            EndpointList.Entry entry, List<Map<String, EndpointList.Entry>> deltas) {
        if (!deltas.isEmpty()) {
            Map<String, EndpointList.Entry> last = deltas.get(deltas.size() - 1);
            EndpointList.Entry previous = last.get(entry.host());
            boolean reincarnated = previous != null && isRemoval(previous) && !isRemoval(entry);
            if (!reincarnated) {
                return last;
            }
        }
        Map<String, EndpointList.Entry> next = new LinkedHashMap<>();
        deltas.add(next);
        return next;
    }

    private static boolean isRemoval(EndpointList.Entry entry) {
        return entry.state() == EndpointList.State.REMOVED;
    }

    private static void removeLast(String host, List<Map<String, EndpointList.Entry>> deltas) {
        for (int i = deltas.size() - 1; i >= 0; i--) {
            if (deltas.get(i).remove(host) != null) {
                return;
            }
        }
    }

    /** Emits the deltas in order, each marked with this revision. */
    void emit(long revision, Consumer<ViewUpdate> updates) {
        deltasByFront.forEach((front, deltas) -> {
            for (Map<String, EndpointList.Entry> delta : deltas) {
                if (!delta.isEmpty()) {
                    EndpointList list = new EndpointList(revision, false, List.copyOf(delta.values()));
                    updates.accept(new ViewUpdate.Endpoints(front, list, false));
                }
            }
        });
    }
}
