package mintstair.proxy;

import java.util.HashSet;
import java.util.Set;
import mintstair.request.EndpointList;

/** Tracks which hosts and clusters the endpoint list contains. Used on the event loop only. */
final class KnownEndpoints {
    private final Set<String> listedHosts = new HashSet<>();
    private final Set<String> servingHosts = new HashSet<>();
    private final Set<Integer> clusters = new HashSet<>();

    /** Applies a snapshot or a delta of the list. */
    void update(EndpointList list) {
        if (list.isSnapshot()) {
            listedHosts.clear();
            servingHosts.clear();
        }
        for (EndpointList.Entry entry : list.entries()) {
            clusters.add(entry.cluster());
            addOrRemove(listedHosts, entry.host(), entry.state() != EndpointList.State.REMOVED);
            addOrRemove(servingHosts, entry.host(), entry.state() == EndpointList.State.SERVING);
        }
    }

    private static void addOrRemove(Set<String> hosts, String host, boolean present) {
        if (present) {
            hosts.add(host);
        } else {
            hosts.remove(host);
        }
    }

    /** Returns whether a host of this cluster has ever been listed. */
    boolean isClusterKnown(int cluster) {
        return clusters.contains(cluster);
    }

    /** Returns whether the host is listed as serving. */
    boolean isServing(String host) {
        return servingHosts.contains(host);
    }

    /** Returns the number of listed hosts, including draining ones. */
    int countListed() {
        return listedHosts.size();
    }
}
