package mintstair.request;

import java.util.List;

/**
 * The hosts that service discovery lists, or the changes to them.
 *
 * @param revision increases with each change to the list at its source
 * @param isSnapshot whether the entries are a snapshot of all hosts; otherwise they are a delta of the changed hosts
 * @param entries the hosts
 */
public record EndpointList(long revision, boolean isSnapshot, List<Entry> entries) {
    /** The state of a host. */
    public enum State {
        /** The host accepts requests. */
        SERVING,
        /** The host is about to shut down and accepts no new requests. */
        DRAINING,
        /** The host is no longer listed. */
        REMOVED
    }

    /**
     * A listed host.
     *
     * @param host its name, unique within the list
     * @param endpoint its address, {@code host:port}
     * @param zone its availability zone
     * @param cluster the number of its replica set
     * @param state the state of the host
     * @param primary whether it is listed as the primary of its replica set
     * @param capacity its capacity relative to other hosts; 1 is typical
     * @param startedAtMicros when its process started, in Unix microseconds; 0 if unknown, which counts as long ago
     */
    public record Entry(
            String host,
            String endpoint,
            String zone,
            int cluster,
            State state,
            boolean primary,
            double capacity,
            long startedAtMicros) {}
}
