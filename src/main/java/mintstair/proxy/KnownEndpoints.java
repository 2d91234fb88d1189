package mintstair.proxy;

import java.util.HashSet;
import java.util.Set;
import mintstair.request.EndpointList;

/** The hosts and clusters of the endpoint list, as far as the core needs them. To be used on the event loop only. */
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
            setMember(listedHosts, entry.host(), entry.state() != EndpointList.State.REMOVED);
            setMember(servingHosts, entry.host(), entry.state() == EndpointList.State.SERVING);
        }
    }

    private static void setMember(Set<String> hosts, String host, boolean member) {
        if (member) {
            hosts.add(host);
        } else {
            hosts.remove(host);
        }
    }

    /** Whether some host of this cluster was ever listed. */
    boolean isClusterKnown(int cluster) {
        return clusters.contains(cluster);
    }

    /** Whether the host is listed and takes requests. */
    boolean isServing(String host) {
        return servingHosts.contains(host);
    }

    /** How many hosts are listed, draining ones included. */
    int countListed() {
        return listedHosts.size();
    }
}
