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
 * Changes of hosts put into lists for the fronts, in which a host occurs at most once: a later entry of the same life takes the
 * place of the earlier, and a new life after a deletion begins the next list.
 */
final class HostSteps {
    private final Map<String, List<Map<String, EndpointList.Entry>>> lists = new LinkedHashMap<>();
    private final Set<String> unborn = new HashSet<>();

    /** {@code born}: nothing was told of this life of the host before; one that is over within the same step is not told at all. */
    void add(String front, EndpointList.Entry entry, boolean born) {
        List<Map<String, EndpointList.Entry>> of = lists.computeIfAbsent(front, f -> new ArrayList<>());
        if (of.isEmpty()) {
            of.add(new LinkedHashMap<>());
        }
        Map<String, EndpointList.Entry> last = of.get(of.size() - 1);
        EndpointList.Entry before = last.get(entry.host());
        if (before != null
                && before.state() == EndpointList.State.REMOVED
                && entry.state() != EndpointList.State.REMOVED) {
            last = new LinkedHashMap<>();
            of.add(last);
        }
        if (entry.state() == EndpointList.State.REMOVED && unborn.remove(front + ' ' + entry.host())) {
            for (int i = of.size() - 1; i >= 0 && of.get(i).remove(entry.host()) == null; ) {
                i--;
            }
            return;
        }
        if (born) {
            unborn.add(front + ' ' + entry.host());
        }
        last.put(entry.host(), entry);
    }

    /** Tells the lists as changes at this revision. */
    void tell(long revision, Consumer<ViewUpdate> out) {
        lists.forEach((front, of) -> of.stream()
                .filter(entries -> !entries.isEmpty())
                .forEach(entries -> out.accept(new ViewUpdate.Endpoints(
                        front, new EndpointList(revision, false, List.copyOf(entries.values())), false))));
    }
}
